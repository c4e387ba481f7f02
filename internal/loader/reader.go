package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

// SettingError reports an invalid setting in a file.
type SettingError struct {
	File  string
	Line  int
	Key   string
	Fault string
}

// Error implements the error interface.
func (e *SettingError) Error() string {
	location := e.File
	if e.Line > 0 {
		location += ":" + strconv.Itoa(e.Line)
	}
	if e.Key == "" {
		return location + ": " + e.Fault
	}
	return location + ": " + e.Key + ": " + e.Fault
}

// reader validates one file and collects all errors instead of stopping at the
// first one.
type reader struct {
	file   string
	text   []byte
	faults []error
}

func (r *reader) lineOf(v *hujson.Value) int {
	return 1 + bytes.Count(r.text[:min(len(r.text), v.StartOffset)], []byte("\n"))
}

func (r *reader) addFault(v *hujson.Value, key, format string, args ...any) {
	r.faults = append(r.faults, &SettingError{
		File: r.file, Line: r.lineOf(v), Key: key, Fault: fmt.Sprintf(format, args...),
	})
}

func (r *reader) err() error {
	return errors.Join(r.faults...)
}

// setting is a key that an object may have and the function that reads its value.
type setting struct {
	key  string
	read func(v *hujson.Value, path string)
}

// object reads the members of an object with the matching settings and returns
// the keys that it found.
func (r *reader) object(v *hujson.Value, path string, settings []setting) map[string]bool {
	seen := map[string]bool{}
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		r.addFault(v, path, "must be an object")
		return seen
	}
	for i := range o.Members {
		m := &o.Members[i]
		key := m.Name.Value.(hujson.Literal).String()
		fullPath := joinPath(path, key)
		if seen[key] {
			r.addFault(&m.Name, fullPath, "is given twice")
			continue
		}
		seen[key] = true
		s := findSetting(settings, key)
		if s == nil {
			r.addFault(&m.Name, fullPath, "is not known; allowed here: %s", formatKeys(settings))
			continue
		}
		s.read(&m.Value, fullPath)
	}
	return seen
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func findSetting(settings []setting, key string) *setting {
	for i := range settings {
		if settings[i].key == key {
			return &settings[i]
		}
	}
	return nil
}

func formatKeys(settings []setting) string {
	var b bytes.Buffer
	for i, s := range settings {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(s.key)
	}
	return b.String()
}

func (r *reader) list(v *hujson.Value, path string, element func(v *hujson.Value, path string)) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		r.addFault(v, path, "must be a list")
		return
	}
	for i := range a.Elements {
		element(&a.Elements[i], fmt.Sprintf("%s[%d]", path, i))
	}
}

// str reads a string for which check is true. The error message uses want to
// describe the allowed values.
func (r *reader) str(v *hujson.Value, path, want string, check func(string) bool) string {
	var s string
	l, ok := v.Value.(hujson.Literal)
	if !ok || json.Unmarshal(l, &s) != nil || !check(s) {
		r.addFault(v, path, "must be %s", want)
	}
	return s
}

func (r *reader) integer(v *hujson.Value, path string, low, high int64) int64 {
	var n int64
	l, ok := v.Value.(hujson.Literal)
	if !ok || json.Unmarshal(l, &n) != nil || n < low || n > high {
		r.addFault(v, path, "must be a whole number from %d to %d", low, high)
	}
	return n
}

func (r *reader) number(v *hujson.Value, path string, low, high float64) float64 {
	var n float64
	l, ok := v.Value.(hujson.Literal)
	if !ok || json.Unmarshal(l, &n) != nil || n < low || n > high {
		r.addFault(v, path, "must be a number from %g to %g", low, high)
	}
	return n
}

func (r *reader) duration(v *hujson.Value, path string, low, high time.Duration) time.Duration {
	want := fmt.Sprintf("a duration from %s to %s, such as \"200ms\"", low, high)
	var d time.Duration
	r.str(v, path, want, func(s string) bool {
		var err error
		d, err = time.ParseDuration(s)
		return err == nil && d >= low && d <= high
	})
	return d
}

func (r *reader) address(v *hujson.Value, path string) netip.AddrPort {
	var a netip.AddrPort
	r.str(v, path, "an IP number and a port, such as \"10.0.0.1:7000\"", func(s string) bool {
		var err error
		a, err = netip.ParseAddrPort(s)
		return err == nil
	})
	return a
}
