package loader

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"bronzedrift.example/bronzedrift/internal/decoder"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
)

const (
	maxNameBytes = 64
	kibibyte     = 1 << 10
	gibibyte     = 1 << 30
)

// Load reads and validates a settings file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &SettingError{File: file, Fault: "cannot be read: " + err.Error()}
	}
	return Parse(file, text)
}

// Parse parses and validates the text of a settings file.
func Parse(file string, text []byte) (*Settings, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, &SettingError{File: file, Fault: "is no JSON with comments: " + strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	r := &reader{file: file, text: text}
	s := Defaults()
	seen := r.object(&root, "", r.topLevel(&s))
	for _, key := range []string{"vm", "data-centre", "listen", "peers"} {
		if !seen[key] {
			r.addFault(&root, key, "is missing")
		}
	}
	if len(r.faults) == 0 {
		r.checkConsistency(&root, &s)
	}
	if err := r.err(); err != nil {
		return nil, err
	}
	return &s, nil
}

func (r *reader) topLevel(s *Settings) []setting {
	return []setting{
		{"vm", func(v *hujson.Value, p string) { s.VM = r.name(v, p) }},
		{"data-centre", func(v *hujson.Value, p string) { s.DataCentre = r.name(v, p) }},
		{"roles", func(v *hujson.Value, p string) { s.Roles = r.roles(v, p) }},
		{"data-folder", func(v *hujson.Value, p string) {
			s.DataFolder = r.str(v, p, "the path of a folder", func(string) bool { return true })
		}},
		{"listen", func(v *hujson.Value, p string) { r.listen(v, p, &s.Listen) }},
		{"secrets", func(v *hujson.Value, p string) { r.secrets(v, p, &s.Secrets) }},
		{"peers", func(v *hujson.Value, p string) {
			r.list(v, p, func(v *hujson.Value, p string) { s.Peers = append(s.Peers, r.peer(v, p)) })
		}},
		{"limits", func(v *hujson.Value, p string) { r.limits(v, p, &s.Limits) }},
		{"weighting", func(v *hujson.Value, p string) {
			s.Weighting = dispatcher.Weighting(r.oneOf(v, p, string(dispatcher.ByResponseTime), string(dispatcher.ByMessages)))
		}},
		{"policy", func(v *hujson.Value, p string) { r.policy(v, p, s) }},
		{"teams", func(v *hujson.Value, p string) {
			r.list(v, p, func(v *hujson.Value, p string) { s.Teams = append(s.Teams, r.team(v, p)) })
		}},
		{"services", func(v *hujson.Value, p string) {
			r.list(v, p, func(v *hujson.Value, p string) { s.Services = append(s.Services, r.service(v, p)) })
		}},
	}
}

func (r *reader) name(v *hujson.Value, path string) string {
	want := fmt.Sprintf("1 to %d letters, digits, dots, hyphens or underscores", maxNameBytes)
	return r.str(v, path, want, func(s string) bool { return decoder.IsName(s, maxNameBytes) })
}

func (r *reader) oneOf(v *hujson.Value, path string, allowed ...string) string {
	want := "one of " + strings.Join(allowed, ", ")
	return r.str(v, path, want, func(s string) bool {
		for _, a := range allowed {
			if s == a {
				return true
			}
		}
		return false
	})
}

func (r *reader) roles(v *hujson.Value, path string) []Role {
	var roles []Role
	r.list(v, path, func(v *hujson.Value, p string) {
		roles = append(roles, Role(r.oneOf(v, p, string(Entry), string(State))))
	})
	if len(roles) == 0 {
		r.addFault(v, path, "must name at least one role")
	}
	return roles
}

func (r *reader) listen(v *hujson.Value, path string, l *Listen) {
	seen := r.object(v, path, []setting{
		{"callers", func(v *hujson.Value, p string) { l.Callers = r.address(v, p) }},
		{"operators", func(v *hujson.Value, p string) { l.Operators = r.address(v, p) }},
		{"metrics", func(v *hujson.Value, p string) { l.Metrics = r.address(v, p) }},
		{"inner", func(v *hujson.Value, p string) { l.Inner = r.address(v, p) }},
	})
	for _, key := range []string{"callers", "operators", "metrics", "inner"} {
		if !seen[key] {
			r.addFault(v, joinPath(path, key), "is missing")
		}
	}
}

func (r *reader) secrets(v *hujson.Value, path string, s *Secrets) {
	file := func(target *string) func(*hujson.Value, string) {
		return func(v *hujson.Value, p string) {
			*target = r.str(v, p, "the path of a file", func(s string) bool { return s != "" })
		}
	}
	r.object(v, path, []setting{
		{"operators-file", file(&s.OperatorsFile)},
		{"monitoring-file", file(&s.MonitoringFile)},
		{"inner-file", file(&s.InnerFile)},
	})
}

func (r *reader) peer(v *hujson.Value, path string) Peer {
	p := Peer{Roles: []Role{Entry}}
	seen := r.object(v, path, []setting{
		{"vm", func(v *hujson.Value, path string) { p.VM = r.name(v, path) }},
		{"data-centre", func(v *hujson.Value, path string) { p.DataCentre = r.name(v, path) }},
		{"roles", func(v *hujson.Value, path string) { p.Roles = r.roles(v, path) }},
		{"inner", func(v *hujson.Value, path string) { p.Inner = r.address(v, path) }},
		{"operators", func(v *hujson.Value, path string) { p.Operators = r.address(v, path) }},
	})
	for _, key := range []string{"vm", "data-centre", "inner"} {
		if !seen[key] {
			r.addFault(v, joinPath(path, key), "is missing")
		}
	}
	return p
}

func (r *reader) limits(v *hujson.Value, path string, l *Limits) {
	r.object(v, path, []setting{
		{"connections-per-upstream", func(v *hujson.Value, p string) { l.ConnectionsPerUpstream = int(r.integer(v, p, 1, 1000)) }},
		{"body-bytes", func(v *hujson.Value, p string) { l.MaxBodyBytes = r.integer(v, p, kibibyte, gibibyte) }},
		{"result-bytes", func(v *hujson.Value, p string) { l.MaxResultBytes = r.integer(v, p, kibibyte, gibibyte) }},
		{"queue-tasks", func(v *hujson.Value, p string) { l.MaxQueuedTasks = int(r.integer(v, p, 1, 10_000_000)) }},
		{"answer-bytes", func(v *hujson.Value, p string) { l.AnswerBytes = int(r.integer(v, p, kibibyte, 64*gibibyte)) }},
		{"id-memory", func(v *hujson.Value, p string) { l.JobIDRetention = r.duration(v, p, time.Second, 24*time.Hour) }},
		{"clock-skew", func(v *hujson.Value, p string) { l.ClockSkew = r.duration(v, p, 0, time.Minute) }},
		{"announcement-wait", func(v *hujson.Value, p string) { l.AnnouncementWait = r.duration(v, p, 0, time.Minute) }},
		{"drain-timeout", func(v *hujson.Value, p string) { l.DrainTimeout = r.duration(v, p, 0, time.Hour) }},
		{"client-connections", func(v *hujson.Value, p string) { l.ClientConnections = int(r.integer(v, p, 32, 1_000_000)) }},
		{"client-body-bytes", func(v *hujson.Value, p string) { l.ClientBodyBytes = r.integer(v, p, kibibyte, 64*gibibyte) }},
		{"events", func(v *hujson.Value, p string) { l.Events = int(r.integer(v, p, 16, 10_000_000)) }},
	})
}

func (r *reader) policy(v *hujson.Value, path string, s *Settings) {
	r.object(v, path, []setting{
		{"size-weight", func(v *hujson.Value, p string) { s.Policy.SizeWeight = r.number(v, p, 0, 1000) }},
		{"patience", func(v *hujson.Value, p string) { s.Policy.Patience = r.number(v, p, 0, 1000) }},
	})
}

func (r *reader) team(v *hujson.Value, path string) dispatcher.Team {
	var t dispatcher.Team
	seen := r.object(v, path, []setting{
		{"name", func(v *hujson.Value, p string) { t.Name = r.name(v, p) }},
		{"quota", func(v *hujson.Value, p string) {
			r.object(v, p, []setting{
				{"tasks-in-flight", func(v *hujson.Value, p string) { t.TasksInFlight = int(r.integer(v, p, 0, 100_000_000)) }},
				{"starts-per-second", func(v *hujson.Value, p string) { t.StartsPerSecond = r.number(v, p, 0, 100_000_000) }},
			})
		}},
	})
	if !seen["name"] {
		r.addFault(v, joinPath(path, "name"), "is missing")
	}
	return t
}

func (r *reader) service(v *hujson.Value, path string) dispatcher.Service {
	s := dispatcher.Service{Timeout: defaultServiceTimeout}
	seen := r.object(v, path, []setting{
		{"name", func(v *hujson.Value, p string) { s.Name = r.name(v, p) }},
		{"timeout", func(v *hujson.Value, p string) { s.Timeout = r.duration(v, p, time.Millisecond, 10*time.Minute) }},
	})
	if !seen["name"] {
		r.addFault(v, joinPath(path, "name"), "is missing")
	}
	return s
}

const defaultServiceTimeout = 10 * time.Second

// checkConsistency validates settings that depend on each other.
func (r *reader) checkConsistency(root *hujson.Value, s *Settings) {
	seen := map[string]bool{}
	var self *Peer
	for i := range s.Peers {
		p := &s.Peers[i]
		if seen[p.VM] {
			r.addFault(root, fmt.Sprintf("peers[%d].vm", i), "%q is listed twice", p.VM)
		}
		seen[p.VM] = true
		if p.VM == s.VM {
			self = p
		}
	}
	switch {
	case self == nil:
		r.addFault(root, "peers", "must list this VM, %q", s.VM)
	case self.DataCentre != s.DataCentre:
		r.addFault(root, "data-centre", "is %q, but peers lists this VM in %q", s.DataCentre, self.DataCentre)
	}
	if s.Has(State) && s.DataFolder == "" {
		r.addFault(root, "data-folder", "is missing: the role state needs one")
	}
	r.checkListener(root, "listen.operators", s.Listen.Operators, s.Secrets.OperatorsFile, "secrets.operators-file")
	r.checkListener(root, "listen.inner", s.Listen.Inner, s.Secrets.InnerFile, "secrets.inner-file")
}

// checkListener requires a secret unless the listener is on a loopback address.
func (r *reader) checkListener(root *hujson.Value, key string, a netip.AddrPort, secretFile, secretKey string) {
	if secretFile == "" && !a.Addr().IsLoopback() {
		r.addFault(root, key, "must be a loopback address unless %s is set", secretKey)
	}
}

// ReadSecret reads a shared secret from a file. Without a file name the secret is
// empty.
func ReadSecret(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", &SettingError{File: file, Fault: "cannot be read: " + err.Error()}
	}
	secret := strings.TrimSpace(string(text))
	if secret == "" {
		return "", &SettingError{File: file, Fault: "contains no secret"}
	}
	return secret, nil
}
