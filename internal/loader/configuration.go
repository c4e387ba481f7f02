package loader

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
)

// Configuration holds the teams and services, which operators can change while the
// daemons run.
type Configuration struct {
	Teams    []dispatcher.Team
	Services []dispatcher.Service
}

// ParseConfiguration parses and validates a configuration.
func ParseConfiguration(file string, text []byte) (*Configuration, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, &SettingError{File: file, Fault: "is no JSON with comments: " + strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	r := &reader{file: file, text: text}
	c := &Configuration{}
	teams, services := map[string]bool{}, map[string]bool{}
	seen := r.object(&root, "", []setting{
		{"teams", func(v *hujson.Value, p string) {
			r.list(v, p, func(v *hujson.Value, p string) {
				t := r.team(v, p)
				if teams[t.Name] {
					r.addFault(v, p+".name", "%q is listed twice", t.Name)
				}
				teams[t.Name] = true
				c.Teams = append(c.Teams, t)
			})
		}},
		{"services", func(v *hujson.Value, p string) {
			r.list(v, p, func(v *hujson.Value, p string) {
				s := r.service(v, p)
				if services[s.Name] {
					r.addFault(v, p+".name", "%q is listed twice", s.Name)
				}
				services[s.Name] = true
				c.Services = append(c.Services, s)
			})
		}},
	})
	for _, key := range []string{"teams", "services"} {
		if !seen[key] {
			r.addFault(&root, key, "is missing")
		}
	}
	if err := r.err(); err != nil {
		return nil, err
	}
	return c, nil
}

// FormatConfiguration formats a configuration for ParseConfiguration, with one
// line for each team and service.
func FormatConfiguration(c *Configuration) []byte {
	var b bytes.Buffer
	b.WriteString("{\n  \"teams\": [\n")
	for i, t := range c.Teams {
		fmt.Fprintf(&b, "    {\"name\": %q, \"quota\": {\"tasks-in-flight\": %d, \"starts-per-second\": %g}}%s\n",
			t.Name, t.TasksInFlight, t.StartsPerSecond, separator(i, len(c.Teams)))
	}
	b.WriteString("  ],\n  \"services\": [\n")
	for i, s := range c.Services {
		fmt.Fprintf(&b, "    {\"name\": %q, \"timeout\": %q}%s\n", s.Name, s.Timeout, separator(i, len(c.Services)))
	}
	b.WriteString("  ]\n}\n")
	return b.Bytes()
}

func separator(i, length int) string {
	if i == length-1 {
		return ""
	}
	return ","
}
