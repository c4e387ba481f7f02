// Package loader reads and validates the settings of a daemon, which are JSON with
// comments. It reports all errors of a file at once, each with its file, line, key
// and allowed values.
package loader

import (
	"net/netip"
	"time"

	"bronzedrift.example/bronzedrift/internal/acceptor"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/router"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// Role is a function that a daemon performs.
type Role string

// The roles.
const (
	Entry Role = "entry"
	State Role = "state"
)

// Settings are the validated settings of one daemon.
type Settings struct {
	VM         string
	DataCentre string
	Roles      []Role
	DataFolder string
	Listen     Listen
	Secrets    Secrets
	Peers      []Peer
	Limits     Limits
	Weighting  dispatcher.Weighting
	Policy     scheduler.Policy
	Teams      []dispatcher.Team
	Services   []dispatcher.Service
}

// Listen holds the addresses that a daemon listens on.
type Listen struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Metrics   netip.AddrPort
	Inner     netip.AddrPort
}

// Secrets holds the names of the files that contain the shared secrets. An empty
// name means that there is no secret.
type Secrets struct {
	OperatorsFile  string
	MonitoringFile string
	InnerFile      string
}

// Peer is a VM of the cluster. The peers of a daemon include its own VM.
type Peer struct {
	VM         string
	DataCentre string
	Roles      []Role
	Inner      netip.AddrPort
	Operators  netip.AddrPort
}

// Limits bound the resources and timeouts of one daemon.
type Limits struct {
	ConnectionsPerUpstream int
	MaxBodyBytes           int64
	MaxResultBytes         int64
	MaxQueuedTasks         int
	AnswerBytes            int
	JobIDRetention         time.Duration
	ClockSkew              time.Duration
	AnnouncementWait       time.Duration
	DrainTimeout           time.Duration
	Events                 int
	// ClientConnections is the number of connections of clients at all addresses, and ClientBodyBytes
	// bounds the bodies of their requests together.
	ClientConnections int
	ClientBodyBytes   int64
}

// Has reports whether the daemon has a role.
func (s *Settings) Has(r Role) bool {
	return hasRole(s.Roles, r)
}

// Entries returns the VMs with the entry role.
func (s *Settings) Entries() []router.VM {
	var list []router.VM
	for _, p := range s.Peers {
		if hasRole(p.Roles, Entry) {
			list = append(list, router.VM{Name: p.VM, DataCentre: p.DataCentre})
		}
	}
	return list
}

// Has reports whether the VM has a role.
func (p *Peer) Has(r Role) bool {
	return hasRole(p.Roles, r)
}

func hasRole(roles []Role, r Role) bool {
	for _, have := range roles {
		if have == r {
			return true
		}
	}
	return false
}

// Defaults returns the default values of optional settings.
func Defaults() Settings {
	return Settings{
		Roles: []Role{Entry},
		Limits: Limits{
			ConnectionsPerUpstream: 8,
			MaxBodyBytes:           16 << 20,
			MaxResultBytes:         16 << 20,
			MaxQueuedTasks:         100_000,
			AnswerBytes:            64 << 20,
			JobIDRetention:         10 * time.Minute,
			ClockSkew:              250 * time.Millisecond,
			AnnouncementWait:       1500 * time.Millisecond,
			DrainTimeout:           30 * time.Second,
			Events:                 65_536,
			ClientConnections:      acceptor.DefaultLimits().Connections,
			ClientBodyBytes:        acceptor.DefaultLimits().BodyBytes,
		},
		Weighting: dispatcher.ByResponseTime,
		Policy:    scheduler.DefaultPolicy(),
	}
}
