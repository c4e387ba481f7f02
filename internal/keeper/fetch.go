package keeper

import (
	"slices"
	"time"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

// fetcher decides which VM to ask for a newer version of the configuration. A configuration
// may be large and links narrow, so that at most one VM at a time is asked; the others wait
// until it has answered, and then have something to send only if they are newer still.
type fetcher struct {
	asked   string
	askedAt time.Time
	waiting []source
}

// source is a VM that may have a newer version. version is zero if its version is not known.
type source struct {
	vm      string
	version uint64
	// dueAt is when it may be asked.
	dueAt time.Time
}

const (
	// fetchTimeout is the time without an answer after which the next VM is asked.
	fetchTimeout = time.Second
	// pushGrace is how long a VM that has a version waits for a newer one to be pushed by
	// the leader before it asks for it.
	pushGrace = 300 * time.Millisecond
)

// add notes that a VM may have a newer version than current.
func (f *fetcher) add(now time.Time, vm string, version, current uint64) {
	if f.asked == vm || slices.ContainsFunc(f.waiting, func(s source) bool { return s.vm == vm }) {
		return
	}
	s := source{vm: vm, version: version, dueAt: now}
	if version > 0 && current > 0 {
		s.dueAt = now.Add(pushGrace)
	}
	f.waiting = append(f.waiting, s)
}

// answered notes that a configuration has come.
func (f *fetcher) answered() { f.asked = "" }

// next returns the VM to ask now, or an empty string. Sources that are known to have nothing
// newer than current are dropped.
func (f *fetcher) next(now time.Time, current uint64) string {
	f.waiting = slices.DeleteFunc(f.waiting, func(s source) bool { return s.version > 0 && s.version <= current })
	if f.asked != "" && now.Sub(f.askedAt) < fetchTimeout {
		return ""
	}
	i := slices.IndexFunc(f.waiting, func(s source) bool { return !now.Before(s.dueAt) })
	if i < 0 {
		f.asked = ""
		return ""
	}
	f.asked, f.askedAt = f.waiting[i].vm, now
	f.waiting = slices.Delete(f.waiting, i, i+1)
	return f.asked
}

// RequestNewerVersion asks a VM for its active version, or any that is higher than this VM's
// if version is zero. It may wait for the answer of another VM first.
func (k *Keeper) RequestNewerVersion(vm string, version uint64) {
	k.enqueue(input{run: func(now time.Time) {
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

// replyNewer sends the active version to a VM that asked for a newer one. If there is none,
// it sends the version without the text, so that the VM need not wait.
func (k *Keeper) replyNewer(vm string, than uint64) {
	c := &wire.Configuration{Version: k.active.Version}
	if k.active.Version > than {
		c.Text = k.active.Text
	}
	k.handlers.Send(vm, &wire.StateMessage{Configuration: c})
}
