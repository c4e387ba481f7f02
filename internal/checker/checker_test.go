package checker

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// cleanConfiguration returns a configuration of two routes, two services and a team that
// has no findings.
func cleanConfiguration() *Configuration {
	return &Configuration{
		Version: 7, VersionAt: Position{1, "version"}, AssignsServices: true,
		Routes: []Route{cleanRoute("a", "/a/", 10), cleanRoute("b", "/b/", 20)},
		Services: []Service{
			{Name: "s", NameAt: Position{30, "services[0].name"}},
		},
		Teams:  []Team{{Name: "t", Limits: []Limit{{Value: 1, At: Position{40, "teams[0].limit"}}}}},
		Limits: Limits{BodyBytes: 2000, HeaderBytes: 1000, BodyAt: Position{50, "limits.body"}},
	}
}

func cleanRoute(name, prefix string, line int) Route {
	return Route{
		Name: name, Host: "h.example", Prefix: prefix, Service: "s", TimeoutMillis: 100, LatencyTargetMillis: 100,
		NameAt: Position{line, "name"}, HostAt: Position{line + 1, "host"}, PrefixAt: Position{line + 2, "prefix"},
		ServiceAt: Position{line + 3, "service"}, TimeAt: Position{line + 4, "timeout"},
	}
}

// TestFindings plants one mistake in a clean configuration and guards against a check
// that misses it, reports it elsewhere or reports more.
func TestFindings(t *testing.T) {
	assert.Empty(t, Check(cleanConfiguration()))
	for name, test := range map[string]struct {
		plant   func(*Configuration)
		code    Code
		line    int
		isError bool
	}{
		"route without a host":          {func(c *Configuration) { c.Routes[0].Host = "" }, MissingHost, 11, true},
		"unknown service":               {func(c *Configuration) { c.Routes[1].Service = "x" }, UnknownService, 23, true},
		"prefix without a slash":        {func(c *Configuration) { c.Routes[1].Prefix = "b/" }, RelativePrefix, 22, true},
		"no prefix":                     {func(c *Configuration) { c.Routes[1].Prefix = "" }, RelativePrefix, 22, true},
		"no timeout":                    {func(c *Configuration) { c.Routes[1].TimeoutMillis = 0 }, MissingTimeout, 24, true},
		"equal host and prefix":         {func(c *Configuration) { c.Routes[1].Prefix = "/a/" }, DuplicatePattern, 21, true},
		"equal but for case":            {func(c *Configuration) { c.Routes[1].Prefix, c.Routes[1].Host = "/a/", "H.example" }, DuplicatePattern, 21, true},
		"service without a name":        {func(c *Configuration) { c.Services = append(c.Services, Service{NameAt: Position{31, ""}}) }, MissingName, 31, true},
		"host with a port":              {func(c *Configuration) { c.Routes[0].Host = "h.example:80" }, HostWithPort, 11, false},
		"IPv6 host with a port":         {func(c *Configuration) { c.Routes[0].Host = "[::1]:80" }, HostWithPort, 11, false},
		"host with a wildcard":          {func(c *Configuration) { c.Routes[0].Host = "*.example" }, InvalidHost, 11, false},
		"host that is a URL":            {func(c *Configuration) { c.Routes[0].Host = "http://h.example" }, InvalidHost, 11, false},
		"timeout below the objective":   {func(c *Configuration) { c.Routes[0].TimeoutMillis = 99 }, ShortTimeout, 14, false},
		"two routes of a name":          {func(c *Configuration) { c.Routes[1].Name = "a" }, DuplicateName, 20, false},
		"two services of a name":        {func(c *Configuration) { c.Services = append(c.Services, Service{"s", Position{31, ""}}) }, DuplicateName, 31, false},
		"service that no route uses":    {func(c *Configuration) { c.Services = append(c.Services, Service{"x", Position{31, ""}}) }, UnusedService, 31, false},
		"quota of zero":                 {func(c *Configuration) { c.Teams[0].Limits[0].Value = 0 }, ZeroQuota, 40, false},
		"body limit below header limit": {func(c *Configuration) { c.Limits.BodyBytes = 999 }, BodyBelowHeader, 50, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := cleanConfiguration()
			test.plant(c)
			findings := Check(c)
			if assert.Len(t, findings, 1, "%v", findings) {
				assert.Equal(t, test.code, findings[0].Code)
				assert.Equal(t, test.line, findings[0].Line)
				assert.Equal(t, test.isError, findings[0].IsError)
				assert.NotEmpty(t, findings[0].Message)
			}
		})
	}
}

// TestNoFindings guards against findings on configurations that work.
func TestNoFindings(t *testing.T) {
	for name, change := range map[string]func(*Configuration){
		"IPv6 host":              func(c *Configuration) { c.Routes[0].Host = "[::1]" },
		"routes without names":   func(c *Configuration) { c.Routes[0].Name, c.Routes[1].Name = "", "" },
		"prefix inside another":  func(c *Configuration) { c.Routes[1].Prefix = "/a/b/" },
		"no objective":           func(c *Configuration) { c.Routes[0].LatencyTargetMillis = 0 },
		"no body limit":          func(c *Configuration) { c.Limits.BodyBytes = 0 },
		"no header limit":        func(c *Configuration) { c.Limits.HeaderBytes = 0 },
		"form without routes":    func(c *Configuration) { c.AssignsServices, c.Routes = false, nil },
		"route and service name": func(c *Configuration) { c.Routes[0].Name = "s" },
	} {
		t.Run(name, func(t *testing.T) {
			c := cleanConfiguration()
			change(c)
			assert.Empty(t, Check(c))
		})
	}
}

// TestCheckVersion guards against a version that takes no effect and is not reported.
func TestCheckVersion(t *testing.T) {
	for inForce, want := range map[uint64]int{0: 0, 6: 0, 7: 1, 8: 1} {
		findings := CheckVersion(&Configuration{Version: 7, VersionAt: Position{1, "version"}}, inForce)
		if assert.Len(t, findings, want, "version %d in force", inForce) && want > 0 {
			assert.Equal(t, VersionNotHigher, findings[0].Code)
			assert.Equal(t, Position{1, "version"}, findings[0].Position)
			assert.False(t, findings[0].IsError)
		}
	}
	assert.Empty(t, CheckVersion(&Configuration{}, 7), "a form without versions")
}

// TestCompare guards against differences that are missed, listed twice or attributed to
// another entry.
func TestCompare(t *testing.T) {
	entry := func(name, pattern string, line int, fields ...string) Entry {
		e := Entry{Position: Position{Line: line}, Kind: "route", Name: name, Pattern: pattern}
		for _, f := range fields {
			key, value, _ := strings.Cut(f, "=")
			e.Fields = append(e.Fields, Field{key, value})
		}
		return e
	}
	changed := func(name string, line int, fields ...FieldDifference) Difference {
		return Difference{Change: Changed, Kind: "route", Name: name, Line: line, Fields: fields}
	}
	for name, test := range map[string]struct {
		from, to []Entry
		want     []Difference
	}{
		"equal":    {[]Entry{entry("a", "p", 1, "x=1")}, []Entry{entry("a", "p", 9, "x=1")}, nil},
		"reorder":  {[]Entry{entry("a", "p", 1), entry("b", "q", 2)}, []Entry{entry("b", "q", 1), entry("a", "p", 2)}, nil},
		"added":    {nil, []Entry{entry("a", "p", 1, "x=1")}, []Difference{{Change: Added, Kind: "route", Name: "a", Line: 1}}},
		"removed":  {[]Entry{entry("a", "p", 1, "x=1")}, nil, []Difference{{Change: Removed, Kind: "route", Name: "a", Line: 1}}},
		"no name":  {nil, []Entry{entry("", "p", 1)}, []Difference{{Change: Added, Kind: "route", Name: "p", Line: 1}}},
		"two kind": {[]Entry{{Kind: "team", Name: "a"}}, []Entry{{Kind: "service", Name: "a"}}, []Difference{{Change: Added, Kind: "service", Name: "a"}, {Change: Removed, Kind: "team", Name: "a"}}},
		"fields": {
			[]Entry{entry("a", "p", 1, "a=1", "b=1", "d=1")},
			[]Entry{entry("a", "q", 2, "b=2", "c=1", "d=1")},
			[]Difference{changed("a", 2, FieldDifference{"a", "1", ""}, FieldDifference{"b", "1", "2"}, FieldDifference{"c", "", "1"})},
		},
		"renamed": {
			[]Entry{entry("a", "p", 1, "name=a")},
			[]Entry{entry("b", "p", 2, "name=b")},
			[]Difference{changed("b", 2, FieldDifference{"name", "a", "b"})},
		},
		"equal names are paired by pattern": {
			[]Entry{entry("a", "p", 1, "x=1"), entry("a", "q", 2, "x=2")},
			[]Entry{entry("a", "q", 1, "x=2"), entry("a", "p", 2, "x=3")},
			[]Difference{changed("a", 2, FieldDifference{"x", "1", "3"})},
		},
		"a second entry of a name": {
			[]Entry{entry("a", "p", 1, "x=1")},
			[]Entry{entry("a", "q", 1, "x=1"), entry("a", "p", 2, "x=1")},
			[]Difference{{Change: Added, Kind: "route", Name: "a", Line: 1}},
		},
		"first of two entries of a name removed": {
			[]Entry{entry("a", "p", 1, "x=1"), entry("a", "q", 2, "x=2")},
			[]Entry{entry("a", "q", 1, "x=2")},
			[]Difference{{Change: Removed, Kind: "route", Name: "a", Line: 1}},
		},
		"other entry without a name": {
			[]Entry{entry("", "p", 1, "x=1")},
			[]Entry{entry("", "q", 1, "x=1")},
			[]Difference{{Change: Added, Kind: "route", Name: "q", Line: 1}, {Change: Removed, Kind: "route", Name: "p", Line: 1}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, Compare(test.from, test.to))
		})
	}
}

// TestLocator guards against positions that are off in texts with comments, nested
// values and absent keys.
func TestLocator(t *testing.T) {
	l := NewLocator([]byte("{ // comment\n \"a\": [\n  {\"Name\": \"x\"},\n  {\"b\":\n 1}\n ],\n \"c\": 1,\n \"C\": 2\n}"))
	for key, line := range map[string]int{
		"": 1, "a": 2, "a[0]": 3, "a[0].name": 3, "a[1].b": 5, "a[1].absent": 4, "a[7].absent": 2, "absent.x": 1, "c": 8,
	} {
		assert.Equal(t, Position{line, key}, l.At(key))
	}
	assert.True(t, l.Has("a[0].name"))
	assert.False(t, l.Has("a[1].name"))
	assert.Equal(t, []Position{{8, "C"}}, l.Repeated())
	assert.Equal(t, Position{0, "a"}, NewLocator([]byte("{")).At("a"), "a text that is not valid")
}

// BenchmarkCheck checks and compares 10,000 routes.
func BenchmarkCheck(b *testing.B) {
	c := &Configuration{AssignsServices: true, Services: []Service{{Name: "s"}}}
	for i := range 10_000 {
		c.Routes = append(c.Routes, cleanRoute(fmt.Sprint("r", i), fmt.Sprintf("/%d/", i), i))
		c.Entries = append(c.Entries, Entry{Kind: "route", Name: c.Routes[i].Name, Pattern: c.Routes[i].Prefix})
	}
	for b.Loop() {
		Check(c)
		Compare(c.Entries, c.Entries)
	}
}
