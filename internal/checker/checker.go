// Package checker finds mistakes in a configuration and lists how it differs from
// another one. It works on plain types that know the line of each value; decoders of
// the forms of a configuration fill them.
package checker

import (
	"fmt"
	"net"
	"slices"
	"strings"
)

// Position is the place of a value in the text of a configuration. Line is 0 if it is
// not known.
type Position struct {
	Line int
	Key  string
}

// Code identifies a kind of finding.
type Code string

// Codes of findings. The first group are errors: a daemon refuses such a configuration.
const (
	Refused          Code = "refused"
	MissingHost      Code = "missing-host"
	RelativePrefix   Code = "relative-prefix"
	UnknownService   Code = "unknown-service"
	MissingTimeout   Code = "missing-timeout"
	DuplicatePattern Code = "duplicate-pattern"
	MissingName      Code = "missing-name"

	UnusedService    Code = "unused-service"
	HostWithPort     Code = "host-with-port"
	InvalidHost      Code = "invalid-host"
	ShortTimeout     Code = "short-timeout"
	DuplicateName    Code = "duplicate-name"
	RepeatedKey      Code = "repeated-key"
	ZeroQuota        Code = "zero-quota"
	BodyBelowHeader  Code = "body-below-header"
	VersionNotHigher Code = "version-not-higher"
)

// Finding is one mistake in a configuration.
type Finding struct {
	Position
	Code    Code
	Message string
	// IsError is set if a daemon refuses the configuration because of it.
	IsError bool
}

// Configuration is a decoded configuration of any form.
type Configuration struct {
	// Version is 0 if the form has none.
	Version   uint64
	VersionAt Position
	// AssignsServices is set if the form has routes that name services.
	AssignsServices bool
	Routes          []Route
	Services        []Service
	Teams           []Team
	Limits          Limits
	// Entries are what Compare compares.
	Entries []Entry
}

// Route maps requests by host and path prefix to a service.
type Route struct {
	Name, Host, Prefix, Service                 string
	TimeoutMillis, LatencyTargetMillis          float64
	NameAt, HostAt, PrefixAt, ServiceAt, TimeAt Position
}

// Service is a kind of work that upstreams offer.
type Service struct {
	Name   string
	NameAt Position
}

// Team is a customer with the limits that its quota states.
type Team struct {
	Name   string
	Limits []Limit
}

// Limit is one limit of a quota; limits that the text leaves out are not listed.
type Limit struct {
	Value float64
	At    Position
}

// Limits are the size limits of requests; zero means that the text states none.
type Limits struct {
	BodyBytes, HeaderBytes int64
	BodyAt                 Position
}

// Check returns the findings of a configuration, ordered by line.
func Check(c *Configuration) []Finding {
	r := &report{}
	r.checkRoutes(c)
	r.checkServices(c)
	for _, t := range c.Teams {
		for _, l := range t.Limits {
			if l.Value == 0 {
				r.warn(l.At, ZeroQuota, "is 0, which admits any number instead of none; leave it out or set at least 1")
			}
		}
	}
	if l := c.Limits; l.BodyBytes > 0 && l.BodyBytes < l.HeaderBytes {
		r.warn(l.BodyAt, BodyBelowHeader, "the body limit of %d bytes is below the header limit of %d bytes", l.BodyBytes, l.HeaderBytes)
	}
	Sort(r.findings)
	return r.findings
}

// CheckVersion returns a finding if the form has versions and that of c is not above
// the one in force.
func CheckVersion(c *Configuration, inForce uint64) []Finding {
	r := &report{}
	if c.Version > 0 && c.Version <= inForce {
		r.warn(c.VersionAt, VersionNotHigher, "version %d is not above version %d in force and takes no effect", c.Version, inForce)
	}
	return r.findings
}

// Sort orders findings by line.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int { return a.Line - b.Line })
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.IsError })
}

type report struct {
	findings []Finding
}

func (r *report) fail(at Position, code Code, format string, args ...any) {
	r.findings = append(r.findings, Finding{Position: at, Code: code, Message: fmt.Sprintf(format, args...), IsError: true})
}

func (r *report) warn(at Position, code Code, format string, args ...any) {
	r.findings = append(r.findings, Finding{Position: at, Code: code, Message: fmt.Sprintf(format, args...)})
}

func (r *report) checkRoutes(c *Configuration) {
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	patterns, names := map[string]int{}, map[string]int{}
	for i := range c.Routes {
		route := &c.Routes[i]
		r.checkRoute(route)
		if !services[route.Service] {
			r.fail(route.ServiceAt, UnknownService, "names the unknown service %q", route.Service)
		}
		pattern := strings.ToLower(route.Host) + route.Prefix
		if line, ok := patterns[pattern]; ok {
			r.fail(route.HostAt, DuplicatePattern, "can never match: line %d has the same host and path prefix, %q", line, pattern)
		} else {
			patterns[pattern] = route.HostAt.Line
		}
		r.checkName(names, route.Name, route.NameAt)
	}
}

func (r *report) checkRoute(route *Route) {
	if route.Host == "" {
		r.fail(route.HostAt, MissingHost, "is missing")
	}
	// An address with a slash would also be taken for a host with a port.
	if strings.ContainsAny(route.Host, "/* \t") {
		r.warn(route.HostAt, InvalidHost, "%q can never match: it is not the name or address of a host, and there are no wildcards", route.Host)
	} else if _, _, err := net.SplitHostPort(route.Host); err == nil {
		r.warn(route.HostAt, HostWithPort, "%q can never match: hosts are compared without their port", route.Host)
	}
	if !strings.HasPrefix(route.Prefix, "/") {
		r.fail(route.PrefixAt, RelativePrefix, "%q can never match: a path begins with a slash", route.Prefix)
	}
	if route.TimeoutMillis <= 0 {
		r.fail(route.TimeAt, MissingTimeout, "must be above 0")
	} else if route.TimeoutMillis < route.LatencyTargetMillis {
		r.warn(route.TimeAt, ShortTimeout, "the timeout of %g ms is shorter than the objective of %g ms",
			route.TimeoutMillis, route.LatencyTargetMillis)
	}
}

func (r *report) checkServices(c *Configuration) {
	if !c.AssignsServices {
		return
	}
	used := map[string]bool{}
	for i := range c.Routes {
		used[c.Routes[i].Service] = true
	}
	names := map[string]int{}
	for _, s := range c.Services {
		if s.Name == "" {
			r.fail(s.NameAt, MissingName, "is missing")
			continue
		}
		if !used[s.Name] {
			r.warn(s.NameAt, UnusedService, "no route uses the service %q", s.Name)
		}
		r.checkName(names, s.Name, s.NameAt)
	}
}

// checkName records a name and reports it if it was recorded before. Names may be
// empty.
func (r *report) checkName(lines map[string]int, name string, at Position) {
	if name == "" {
		return
	}
	if line, ok := lines[name]; ok {
		r.warn(at, DuplicateName, "%q is also the name in line %d", name, line)
		return
	}
	lines[name] = at.Line
}
