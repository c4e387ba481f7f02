package keeper

import (
	"slices"
	"time"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

// fetcher decides which VM to ask for a newer version of the configuration. A configuration
// may be large and links narrow, so that at most one VM at a time is asked, and not each VM at
// each of its heartbeats.
type fetcher struct {
	asked   string
	askedAt time.Time
	sources []source
}

// source is a VM that has a newer version.
type source struct {
	vm      string
	version uint64
	// dueAt is when it may be asked, and heardAt when it last announced the version.
	dueAt, heardAt time.Time
}

const (
	// fetchTimeout is the time without an answer after which the next VM is asked.
	fetchTimeout = 600 * time.Millisecond
	// pushGrace is how long a VM that has a version waits for a newer one to be pushed by
	// the leader before it asks for it.
	pushGrace = 300 * time.Millisecond
	// sourceTTL is the time without a heartbeat after which a VM is not asked: five
	// heartbeats are missing.
	sourceTTL = 500 * time.Millisecond
)

// add notes that a VM has a version which is newer than current.
func (f *fetcher) add(now time.Time, vm string, version, current uint64) {
	i := slices.IndexFunc(f.sources, func(s source) bool { return s.vm == vm })
	if i >= 0 {
		f.sources[i].version, f.sources[i].heardAt = version, now
		return
	}
	s := source{vm: vm, version: version, dueAt: now, heardAt: now}
	if current > 0 {
		s.dueAt = now.Add(pushGrace)
	}
	f.sources = append(f.sources, s)
}

// next returns the VM to ask now, or an empty string.
func (f *fetcher) next(now time.Time, current uint64) string {
	f.sources = slices.DeleteFunc(f.sources, func(s source) bool { return s.version <= current || now.Sub(s.heardAt) > sourceTTL })
	isWaiting := f.asked != "" && now.Sub(f.askedAt) < fetchTimeout
	if isWaiting || len(f.sources) == 0 {
		return ""
	}
	// The VM that did not answer comes last.
	if i := slices.IndexFunc(f.sources, func(s source) bool { return s.vm == f.asked }); i >= 0 {
		last := f.sources[i]
		f.sources = append(slices.Delete(f.sources, i, i+1), last)
	}
	i := slices.IndexFunc(f.sources, func(s source) bool { return !now.Before(s.dueAt) })
	if i < 0 {
		return ""
	}
	f.asked, f.askedAt = f.sources[i].vm, now
	return f.asked
}

// answered notes that a configuration has come.
func (f *fetcher) answered() { f.asked = "" }

// RequestNewerVersion asks a VM for its active version, which is higher than this VM's. It
// waits for the push of the leader and the answer of another VM first. It is called again at
// the next heartbeat.
func (k *Keeper) RequestNewerVersion(vm string, version uint64) {
	k.offer(input{run: func(now time.Time) {
		k.fetcher.add(now, vm, version, k.active.Version)
		k.fetchNext(now)
	}})
}

// fetchNext asks the next VM for a newer version.
func (k *Keeper) fetchNext(now time.Time) {
	if vm := k.fetcher.next(now, k.active.Version); vm != "" {
		k.handlers.Send(vm, &wire.StateMessage{Wants: true, WantNewer: k.active.Version})
	}
}
