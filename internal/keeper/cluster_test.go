package keeper

import (
	"context"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/replicator"
	"bronzedrift.example/bronzedrift/internal/storer"
)

// testCluster runs Keepers that are connected by simulated links. It runs in a bubble of
// package synctest, so that its clock is simulated.
type testCluster struct {
	t      *testing.T
	mu     sync.Mutex
	vms    map[string]*testVM
	states []string
	// founders are the state VMs that form the group, and voters is the number of voters that
	// it maintains. Zero values mean all state VMs.
	founders []string
	voters   int
	cut      map[string]bool
	// intercept returns true for a message that is not delivered now. If hold is set, it is
	// delivered by release.
	intercept func(from, to string, m *wire.StateMessage) bool
	hold      bool
	// isFull returns true for a message for which the link has no room: its sender is told.
	isFull     func(from, to string, m *wire.StateMessage) bool
	held       []func()
	heartbeats atomic.Bool
	// link, if set, returns the delay of a message and whether it is lost.
	link func(m *wire.StateMessage) (delay time.Duration, isLost bool)
}

// testVM is one VM of a testCluster. Its disk survives a restart, and is nil if the VM has
// not the state role.
type testVM struct {
	name    string
	disk    *storer.Disk
	founder bool
	keeper  *Keeper
	stop    func()
	mu      sync.Mutex
	active  []configurer.EvacuationSet
	events  []recorder.Event
}

const (
	linkLatency       = 2 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	// settleTime is long enough for an election and the distribution of a set.
	settleTime = 3 * time.Second
	// ackTime is the time within which an order must be acknowledged while a quorum is in
	// contact and has a leader.
	ackTime = time.Second
)

// inCluster runs a test with a number of state VMs s1, s2... and of entries e1, e2... once a
// leader is elected.
func inCluster(t *testing.T, states, entries int, test func(t *testing.T, c *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &testCluster{t: t, vms: map[string]*testVM{}, cut: map[string]bool{}}
		c.heartbeats.Store(true)
		for i := range states {
			name := fmt.Sprint("s", i+1)
			c.states = append(c.states, name)
			c.vms[name] = &testVM{name: name, disk: newMemoryDisk(), founder: true}
		}
		for i := range entries {
			name := fmt.Sprint("e", i+1)
			c.vms[name] = &testVM{name: name}
		}
		for _, name := range c.names() {
			c.start(name)
		}
		defer c.stopAll()
		time.Sleep(settleTime)
		require.NotEmpty(t, c.leader())
		test(t, c)
	})
}

func (c *testCluster) names() []string { return slices.Sorted(maps.Keys(c.vms)) }

func (c *testCluster) stopAll() {
	for _, name := range c.names() {
		c.kill(name)
	}
}

func (c *testCluster) keeper(name string) *Keeper {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[name].keeper
}

func (c *testCluster) isUp(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[name].stop != nil
}

func linkName(a, b string) string { return min(a, b) + "-" + max(a, b) }

func (c *testCluster) isLinked(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.cut[linkName(a, b)] && c.vms[a].stop != nil && c.vms[b].stop != nil
}

// start starts the process of a VM and connects it.
func (c *testCluster) start(name string) {
	require.NoError(c.t, c.tryStart(name))
}

// tryStart starts the process of a VM unless its disk cannot be opened.
func (c *testCluster) tryStart(name string) error {
	vm := c.vms[name]
	founders := c.states
	if c.founders != nil {
		founders = c.founders
	}
	if !vm.founder {
		founders = nil
	}
	voters := 2*(len(c.states)/2) + 1
	if c.voters > 0 {
		voters = c.voters
	}
	// A process that has ended sends nothing more, also if it was within a step.
	var hasEnded atomic.Bool
	send := func(to string, m *wire.StateMessage) {
		if !hasEnded.Load() {
			c.send(name, to, m)
		}
	}
	k, err := New(Config{
		VM: name, Founders: founders, Voters: voters, Disk: vm.disk, Timing: replicator.DefaultTiming(), Seed: uint64(len(name)) + uint64(name[1]),
		Now: time.Now, StateVMs: func() []string { return c.states },
	}, Handlers{
		Send: send,
		Broadcast: func(m *wire.StateMessage) {
			for _, to := range c.names() {
				if to != name {
					send(to, m)
				}
			}
		},
		Activate:            func(configurer.Configuration) {},
		ActivateEvacuations: vm.activate,
		Event:               vm.record,
	})
	if err != nil {
		return err
	}
	vm.mu.Lock()
	vm.active = nil
	vm.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = k.Serve(ctx) })
	running.Go(func() { c.beat(ctx, name, k) })
	c.mu.Lock()
	vm.keeper = k
	vm.stop = func() { hasEnded.Store(true); cancel(); running.Wait() }
	c.mu.Unlock()
	for _, peer := range c.names() {
		if peer != name && c.isLinked(name, peer) {
			k.PeerUp(peer)
			c.keeper(peer).PeerUp(name)
		}
	}
	return nil
}

func (vm *testVM) activate(set configurer.EvacuationSet) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.active = append(vm.active, set)
}

func (vm *testVM) record(e recorder.Event) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.events = append(vm.events, e)
}

// inForce returns the last set that was put in force, and checks that revisions rose.
func (vm *testVM) inForce(t *testing.T) configurer.EvacuationSet {
	t.Helper()
	vm.mu.Lock()
	defer vm.mu.Unlock()
	last := configurer.EvacuationSet{}
	for _, set := range vm.active {
		assert.Greater(t, set.Revision, last.Revision, "%s went back to a lower revision", vm.name)
		last = set
	}
	return last
}

// kill ends the process of a VM. Its disk stays.
func (c *testCluster) kill(name string) {
	c.mu.Lock()
	stop := c.vms[name].stop
	c.vms[name].stop = nil
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// wipe ends the process of a state VM and starts it with an empty disk.
func (c *testCluster) wipe(name string) {
	c.kill(name)
	c.vms[name].disk, c.vms[name].founder = newMemoryDisk(), false
	c.start(name)
}

// beat sends the heartbeats of a VM, which carry its revision.
func (c *testCluster) beat(ctx context.Context, name string, k *Keeper) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, to := range c.names() {
			if !c.heartbeats.Load() || to == name || !c.isLinked(name, to) {
				continue
			}
			if peer, revision := c.keeper(to), k.Evacuations().Revision; revision > peer.Evacuations().Revision {
				peer.RequestNewerEvacuations(name, revision)
			}
		}
	}
}

func (c *testCluster) send(from, to string, m *wire.StateMessage) {
	payload, err := proto.Marshal(m)
	if err != nil {
		c.t.Error("a message that cannot be encoded:", err)
		return
	}
	if c.vms[to] == nil {
		// A replica does not know the VM of a member that was removed meanwhile.
		return
	}
	deliver := func() {
		received := &wire.StateMessage{}
		if err := proto.Unmarshal(payload, received); err != nil || !c.isLinked(from, to) {
			return
		}
		c.keeper(to).Receive(from, received)
	}
	if c.hasNoRoom(from, to, m) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.intercept != nil && c.intercept(from, to, m) {
		if c.hold {
			c.held = append(c.held, deliver)
		}
		return
	}
	if c.link == nil {
		time.AfterFunc(linkLatency, deliver)
		return
	}
	if delay, isLost := c.link(m); !isLost {
		time.AfterFunc(delay, deliver)
	}
}

// hasNoRoom reports whether a link has no room for a message, and tells its sender of a push.
func (c *testCluster) hasNoRoom(from, to string, m *wire.StateMessage) bool {
	c.mu.Lock()
	isFull := c.isFull != nil && c.isFull(from, to, m)
	c.mu.Unlock()
	if isFull && IsPush(m) {
		c.keeper(from).PushDropped(to)
	}
	return isFull
}

// fill fills the links for the messages that match from now on.
func (c *testCluster) fill(matches func(from, to string, m *wire.StateMessage) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isFull = matches
}

// drop loses the messages that match from now on, and keep delays them until release.
func (c *testCluster) drop(matches func(from, to string, m *wire.StateMessage) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.intercept, c.hold = matches, false
}

func (c *testCluster) keep(matches func(from, to string, m *wire.StateMessage) bool) {
	c.drop(matches)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hold = true
}

// release delivers what was kept and returns the number of messages.
func (c *testCluster) release() int {
	c.mu.Lock()
	held := c.held
	c.intercept, c.held = nil, nil
	c.mu.Unlock()
	for _, deliver := range held {
		deliver()
	}
	return len(held)
}

// partition cuts the links between two sides, and reconnects all links within them.
func (c *testCluster) partition(side ...string) {
	names := c.names()
	for i, a := range names {
		for _, b := range names[i+1:] {
			c.setLink(a, b, slices.Contains(side, a) == slices.Contains(side, b))
		}
	}
}

func (c *testCluster) setLinks(link func(m *wire.StateMessage) (delay time.Duration, isLost bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link = link
}

func (c *testCluster) heal() { c.partition() }

func (c *testCluster) setLink(a, b string, isUp bool) {
	c.mu.Lock()
	wasUp := !c.cut[linkName(a, b)]
	c.cut[linkName(a, b)] = !isUp
	c.mu.Unlock()
	if isUp && !wasUp && c.isLinked(a, b) {
		c.keeper(a).PeerUp(b)
		c.keeper(b).PeerUp(a)
	}
}

// leader returns the state VM that leads in the highest term.
func (c *testCluster) leader() string {
	leader, term := "", uint64(0)
	for _, name := range c.states {
		if !c.isUp(name) {
			continue
		}
		status, _, err := c.keeper(name).Status(context.Background())
		if err == nil && status.Role == replicator.Leader && status.Term > term {
			leader, term = name, status.Term
		}
	}
	return leader
}

// follower returns a state VM that does not lead.
func (c *testCluster) follower() string {
	leader := c.leader()
	return c.states[slices.IndexFunc(c.states, func(name string) bool { return name != leader && c.isUp(name) })]
}

// order gives an order at a VM and returns the record and how long it took.
func (c *testCluster) order(vm, dataCentre string, active bool, wait time.Duration) (configurer.Evacuation, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	startedAt := time.Now()
	e, err := c.keeper(vm).Evacuate(ctx, dataCentre, active)
	return e, time.Since(startedAt), err
}

// mustOrder gives an order that must be acknowledged within ackTime.
func (c *testCluster) mustOrder(vm, dataCentre string, active bool) configurer.Evacuation {
	c.t.Helper()
	e, took, err := c.order(vm, dataCentre, active, 5*time.Second)
	require.NoError(c.t, err)
	require.Equal(c.t, dataCentre, e.DataCentre)
	assert.LessOrEqual(c.t, took, ackTime)
	return e
}

// mustFail gives an order that must not be acknowledged.
func (c *testCluster) mustFail(vm, dataCentre string, active bool) {
	c.t.Helper()
	_, _, err := c.order(vm, dataCentre, active, time.Second)
	require.ErrorIs(c.t, err, ErrUnavailable)
}

// assertAgreed checks that the replicas and all running VMs have the same set, with the
// given data centres evacuated.
func (c *testCluster) assertAgreed(active ...string) configurer.EvacuationSet {
	c.t.Helper()
	time.Sleep(settleTime)
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	set, err := c.keeper(c.follower()).ReadEvacuations(ctx)
	require.NoError(c.t, err)
	assert.Equal(c.t, active, activeIn(set))
	for _, name := range c.names() {
		if vm := c.vms[name]; c.isUp(name) {
			assert.Equal(c.t, set, vm.inForce(c.t), name)
			assert.Equal(c.t, set, c.keeper(name).Evacuations(), name)
		}
	}
	return set
}

func activeIn(s configurer.EvacuationSet) []string {
	var names []string
	for _, e := range s.Evacuations {
		if e.Active {
			names = append(names, e.DataCentre)
		}
	}
	return names
}

func isRequest(m *wire.StateMessage) bool  { return m.GetRequest().GetKind() == requestEvacuate }
func isResponse(m *wire.StateMessage) bool { return m.GetResponse() != nil }
func isSet(m *wire.StateMessage) bool      { return m.GetEvacuations() != nil }

// newMemoryDisk returns a disk that is faster than a folder. It is used by one Keeper at a
// time.
func newMemoryDisk() *storer.Disk {
	files := map[string][]byte{}
	return &storer.Disk{
		List: func() ([]string, error) { return slices.Sorted(maps.Keys(files)), nil },
		Read: func(name string) ([]byte, error) {
			data, ok := files[name]
			if !ok {
				return nil, fs.ErrNotExist
			}
			return slices.Clone(data), nil
		},
		Append: func(name string, data []byte) error {
			files[name] = append(slices.Clone(files[name]), data...)
			return nil
		},
		Sync:     func(string) error { return nil },
		Truncate: func(name string, size int64) error { files[name] = files[name][:size]; return nil },
		Rename: func(from, to string) error {
			files[to] = files[from]
			delete(files, from)
			return nil
		},
		Remove:     func(name string) error { delete(files, name); return nil },
		SyncFolder: func() error { return nil },
	}
}
