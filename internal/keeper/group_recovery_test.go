package keeper

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/replicator"
)

var (
	firstGroupSeed = flag.Uint64("first-group-seed", 1, "first seed of the losses of a group of state VMs")
	groupSeedCount = flag.Uint64("group-seeds", 40, "number of seeds of the losses of a group of state VMs")
	traceGroup     = flag.Bool("trace-group", false, "print the faults and answers of each seed")
)

const (
	// recoveryTime is the time without faults within which each state VM must answer a read.
	recoveryTime = 4 * time.Second
	// catchUpTime is the time after which a VM that has lost its disk counts as sound again.
	catchUpTime = 4 * time.Second
	// replacementTime is the time without faults within which lost voters must be replaced.
	replacementTime = 12 * time.Second
	faultTime       = 12 * time.Second
	sendInterval    = time.Second
	readTimeout     = time.Second
	linkBytesPerMs  = 2400
)

// lossyGroup is a group of three voters and one or two learners that loses power, disks, VMs
// and messages, while an operator changes the configuration.
type lossyGroup struct {
	*testCluster
	seed        uint64
	disks       map[string]*volatileDisk
	ends        map[string]func()
	starting    map[string]chan struct{}
	wanted      map[string]int // the number of starts and ends of a VM
	mu          sync.Mutex
	random      *rand.Rand
	sent        map[uint64][]byte
	acked       uint64
	oneWay      map[string]bool
	textSize    int
	diskLostAt  time.Time
	disturbedTo time.Time
	stopped     bool
	running     sync.WaitGroup
}

func inLossyGroup(t *testing.T, seed uint64, test func(t *testing.T, g *lossyGroup)) {
	t.Helper()
	// A subtest of its own, so that the seeds after one that fails run too.
	t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { runLossyGroup(t, seed, test) })
	})
}

func runLossyGroup(t *testing.T, seed uint64, test func(t *testing.T, g *lossyGroup)) {
	t.Helper()
	g := &lossyGroup{
		testCluster: &testCluster{t: t, vms: map[string]*testVM{}, cut: map[string]bool{}, voters: 3},
		seed:        seed, disks: map[string]*volatileDisk{}, ends: map[string]func(){}, starting: map[string]chan struct{}{},
		wanted: map[string]int{}, random: rand.New(rand.NewPCG(seed, 29)), sent: map[uint64][]byte{}, oneWay: map[string]bool{}, textSize: 200,
	}
	if seed%8 == 0 {
		g.textSize = 100_000
	}
	// The VMs after the first four or five replace others.
	for i := range 8 {
		name := fmt.Sprint("s", i+1)
		g.states = append(g.states, name)
		g.vms[name] = &testVM{name: name, founder: i < 3}
		g.setDisk(name, newVolatileDisk(seed<<8+uint64(i)))
		g.starting[name] = make(chan struct{}, 1)
	}
	g.founders = g.states[:3]
	g.setLinks(func(m *wire.StateMessage) (time.Duration, bool) {
		delay := g.duration(1, 6) + time.Duration(proto.Size(m)/linkBytesPerMs)*time.Millisecond
		return delay, g.number(100) == 0
	})
	g.drop(func(from, to string, _ *wire.StateMessage) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.oneWay[from+to]
	})
	for _, name := range g.states[:4+seed%2] {
		g.up(name)
	}
	defer func() {
		g.mu.Lock()
		g.stopped = true
		g.mu.Unlock()
		for _, name := range g.states {
			g.down(name)
		}
		g.running.Wait()
	}()
	time.Sleep(settleTime)
	for _, name := range g.states[:3] {
		g.vms[name].founder = false
	}
	test(t, g)
}

func (g *lossyGroup) number(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.IntN(n)
}

func (g *lossyGroup) duration(low, high int) time.Duration {
	return time.Duration(low+g.number(high-low)) * time.Millisecond
}

func (g *lossyGroup) tracef(format string, args ...any) {
	if *traceGroup {
		g.t.Logf("%s %s", time.Now().Format("05.000"), fmt.Sprintf(format, args...))
	}
}

// up starts a VM, again and again while its disk refuses that.
func (g *lossyGroup) up(name string) {
	g.mu.Lock()
	g.wanted[name]++
	start := g.wanted[name]
	g.mu.Unlock()
	for g.startOnce(name, start) != nil {
		time.Sleep(100 * time.Millisecond)
	}
}

// startOnce returns nil if the VM is up, or was ended meanwhile.
func (g *lossyGroup) startOnce(name string, start int) error {
	g.starting[name] <- struct{}{}
	defer func() { <-g.starting[name] }()
	disk, end := g.disk(name).open()
	g.mu.Lock()
	if g.wanted[name] != start || g.stopped {
		g.mu.Unlock()
		return nil
	}
	g.vms[name].disk, g.ends[name] = disk, end
	g.mu.Unlock()
	result := make(chan error, 1)
	go func() {
		var err error
		defer func() { result <- err }()
		err = g.tryStart(name)
	}()
	err := <-result
	if err != nil {
		g.tracef("%s does not start: %v", name, err)
		assert.ErrorIs(g.t, err, errDiskFull, "seed %d: %s refuses to start", g.seed, name)
	}
	return err
}

// down ends the process of a VM, also while it starts.
func (g *lossyGroup) down(name string) {
	g.mu.Lock()
	g.wanted[name]++
	end := g.ends[name]
	delete(g.ends, name)
	g.mu.Unlock()
	if end != nil {
		end()
	}
	g.starting[name] <- struct{}{}
	g.kill(name)
	<-g.starting[name]
}

func (g *lossyGroup) present() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for _, name := range g.states {
		if g.ends[name] != nil {
			list = append(list, name)
		}
	}
	return list
}

func (g *lossyGroup) pick() string {
	present := g.present()
	if len(present) == 0 {
		return ""
	}
	return present[g.number(len(present))]
}

// pickLeader returns the leader, or any VM.
func (g *lossyGroup) pickLeader() string {
	for _, name := range g.present() {
		if g.isUp(name) && g.status(name).Role == replicator.Leader {
			return name
		}
	}
	return g.pick()
}

func (g *lossyGroup) status(name string) replicator.Status {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	status, _, _ := g.keeper(name).Status(ctx)
	return status
}

// later runs a function after a pause; no fault counts as over before.
func (g *lossyGroup) later(pause time.Duration, run func()) {
	g.mu.Lock()
	if until := time.Now().Add(pause); until.After(g.disturbedTo) {
		g.disturbedTo = until
	}
	g.mu.Unlock()
	g.running.Go(func() {
		time.Sleep(pause)
		run()
	})
}

func (g *lossyGroup) disk(name string) *volatileDisk {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.disks[name]
}

func (g *lossyGroup) setDisk(name string, d *volatileDisk) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.disks[name] = d
}

func (g *lossyGroup) killVMs(names []string, losePower bool, low, high int) {
	g.tracef("down %v, power lost: %t", names, losePower)
	var ending sync.WaitGroup
	for _, name := range names {
		ending.Go(func() { g.down(name) })
	}
	ending.Wait()
	for _, name := range names {
		if losePower {
			g.disk(name).losePower()
		}
		g.later(g.duration(low, high), func() { g.up(name) })
	}
}

// wipe ends a VM whose disk is lost. It comes back with an empty disk, or another VM replaces
// it.
func (g *lossyGroup) wipe(name string, isReplaced bool, low, high int) {
	g.down(name)
	g.setDisk(name, newVolatileDisk(g.seed<<8+uint64(g.number(1000))))
	next := name
	if isReplaced {
		if i := slices.IndexFunc(g.states, func(s string) bool { return s > name && g.wanted[s] == 0 }); i >= 0 {
			next = g.states[i]
		}
	}
	g.tracef("disk of %s lost, %s is back with an empty one", name, next)
	pause := g.duration(low, high)
	g.diskLostAt = time.Now().Add(pause)
	g.later(pause, func() { g.up(next) })
}

// mayLoseDisk waits until the last lost disk counts as replaced: all faults are over, and the
// time to catch up has passed since.
func (g *lossyGroup) mayLoseDisk() {
	if g.diskLostAt.IsZero() {
		return
	}
	g.calm()
	time.Sleep(catchUpTime + 500*time.Millisecond)
	g.diskLostAt = time.Time{}
}

// calm waits until all faults are over.
func (g *lossyGroup) calm() {
	for {
		g.mu.Lock()
		wait := time.Until(g.disturbedTo)
		g.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

func (g *lossyGroup) injectFault() {
	switch g.number(10) {
	case 0:
		g.killVMs([]string{g.pick()}, g.number(2) == 0, 50, 2000)
	case 1:
		g.killVMs([]string{g.pickLeader()}, g.number(2) == 0, 50, 2000)
	case 2:
		g.killVMs(g.present(), g.number(2) == 0, 100, 1500)
	case 3:
		side := []string{g.pick(), g.pick()}
		g.tracef("partition %v", side)
		g.partition(side...)
		g.later(g.duration(100, 2500), g.heal)
	case 4:
		from, to := g.pick(), g.pick()
		g.setOneWay(from, to, true)
		g.later(g.duration(100, 2500), func() { g.setOneWay(from, to, false) })
	case 5:
		g.faultDisks([]string{g.pick()}, 270*time.Millisecond, 0, 0)
	case 6:
		g.faultDisks(g.present(), 270*time.Millisecond, 0, 0)
	case 7:
		g.faultDisks([]string{g.pick()}, usualSyncTime, g.duration(200, 3000), 0)
	case 8:
		g.faultDisks([]string{g.pickLeader()}, usualSyncTime, 0, g.duration(200, 3000))
	case 9:
		g.mayLoseDisk()
		g.wipe(g.pickLeader(), g.number(2) == 0, 100, 1500)
	}
}

func (g *lossyGroup) setOneWay(from, to string, isCut bool) {
	g.tracef("one way from %s to %s cut: %t", from, to, isCut)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.oneWay[from+to] = isCut
}

func (g *lossyGroup) faultDisks(names []string, syncTime, hangs, refuses time.Duration) {
	g.tracef("disks of %v: sync %v, hang %v, refuse %v", names, syncTime, hangs, refuses)
	for _, name := range names {
		g.disk(name).setFault(syncTime, hangs, refuses)
	}
	g.later(max(hangs, refuses, time.Second), func() {
		for _, name := range names {
			g.disk(name).setFault(usualSyncTime, 0, 0)
		}
	})
}

// send sends a version to a VM and reports whether it was acknowledged.
func (g *lossyGroup) send(name string, version uint64) bool {
	g.mu.Lock()
	if g.sent[version] == nil {
		g.sent[version] = bytes.Repeat([]byte(fmt.Sprint(version, "/")), g.textSize/4)
	}
	text := g.sent[version]
	g.mu.Unlock()
	if !g.isUp(name) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendInterval)
	defer cancel()
	k := g.keeper(name)
	o, err := k.Change(ctx, configurer.Change{ID: fmt.Sprint("change-", version), Version: version, Text: text})
	// An answer of a process that is ending reaches nobody.
	if err != nil || !g.isUp(name) || g.keeper(name) != k {
		return false
	}
	g.tracef("%s acknowledges %d as %s", name, version, o.Kind)
	assert.GreaterOrEqual(g.t, o.Version, version)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acked = max(g.acked, version)
	return true
}

// operate sends versions until the context ends, each again until it is acknowledged.
func (g *lossyGroup) operate(ctx context.Context) {
	for version := uint64(1); ctx.Err() == nil; version++ {
		for ctx.Err() == nil {
			if name := g.pick(); name != "" && g.send(name, version) {
				break
			}
			time.Sleep(g.duration(20, 300))
			if g.number(10) == 0 {
				break
			}
		}
		time.Sleep(g.duration(5, 600))
	}
}

// read checks that a VM that answers knows what was acknowledged before.
func (g *lossyGroup) read(name string) (isAnswered bool) {
	if !g.isUp(name) {
		return false
	}
	g.mu.Lock()
	acked := g.acked
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	k := g.keeper(name)
	c, err := k.ReadCurrent(ctx)
	if err != nil || !g.isUp(name) || g.keeper(name) != k {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.GreaterOrEqual(g.t, c.Version, acked, "seed %d: %s answers with an older version", g.seed, name)
	if c.Version > 0 {
		assert.True(g.t, bytes.Equal(g.sent[c.Version], c.Text), "seed %d: the text of version %d is not what was sent", g.seed, c.Version)
	}
	return true
}

// runWithFaults changes and reads the configuration while faults overlap.
func (g *lossyGroup) runWithFaults() {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { g.operate(ctx) })
	clients.Go(func() {
		for ctx.Err() == nil {
			if name := g.pick(); name != "" {
				g.read(name)
			}
			time.Sleep(g.duration(10, 200))
		}
	})
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		if g.pick() != "" {
			g.injectFault()
		}
		time.Sleep(g.duration(50, 1500))
	}
	cancel()
	clients.Wait()
}

// lastFault is the fault at the end, right after an acknowledgement.
func (g *lossyGroup) lastFault() {
	kind := g.number(5)
	if kind >= 2 {
		g.mayLoseDisk()
	}
	g.acknowledgeOne()
	lost := ""
	if kind >= 2 {
		lost = g.pick()
		if g.number(2) == 0 {
			lost = g.pickLeader()
		}
	}
	others := slices.DeleteFunc(g.present(), func(name string) bool { return name == lost })
	if kind < 4 {
		g.killVMs(others, kind != 1, 200, 1500)
	}
	if lost != "" {
		g.wipe(lost, false, 200, 1500)
	}
}

// acknowledgeOne sends a new version until it is acknowledged, for at most 5 s.
func (g *lossyGroup) acknowledgeOne() {
	g.mu.Lock()
	version := uint64(1)
	for v := range g.sent {
		version = max(version, v+1)
	}
	g.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		if name := g.pick(); name != "" && g.send(name, version) {
			time.Sleep(g.duration(0, 20))
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitAnswers returns the time until each VM has answered a read, at most limit.
func (g *lossyGroup) awaitAnswers(limit time.Duration) time.Duration {
	startedAt := time.Now()
	var reading sync.WaitGroup
	for _, name := range g.present() {
		reading.Go(func() {
			for !g.read(name) && time.Since(startedAt) < limit {
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	reading.Wait()
	return time.Since(startedAt)
}

// assertVoters checks that the voters are three disks of VMs that are up.
func (g *lossyGroup) assertVoters() {
	for _, name := range g.present() {
		voters := 0
		for _, m := range g.status(name).Members {
			if m.Voter {
				voters++
				assert.True(g.t, g.isUp(m.VM) && g.keeper(m.VM).identity == m.ID, "seed %d: %s counts the lost disk %s as a voter", g.seed, name, m.ID)
			}
		}
		assert.Equal(g.t, 3, voters, "seed %d: voters at %s: %+v", g.seed, name, g.status(name))
	}
}

// TestGroupRecoversFromLosses guards against state VMs that answer no read of the
// configuration, or an older version than was acknowledged, once power, disks, VMs, links and
// messages were lost.
func TestGroupRecoversFromLosses(t *testing.T) {
	var slowest time.Duration
	for seed := *firstGroupSeed; seed < *firstGroupSeed+*groupSeedCount; seed++ {
		inLossyGroup(t, seed, func(t *testing.T, g *lossyGroup) {
			g.runWithFaults()
			g.lastFault()
			g.calm()
			g.tracef("calm")
			took := g.awaitAnswers(20 * time.Second)
			slowest = max(slowest, took)
			if took > recoveryTime {
				assert.LessOrEqual(t, took, recoveryTime, "seed %d: time until each state VM answered", seed)
			}
			time.Sleep(replacementTime - min(took, replacementTime))
			require.Positive(t, g.acked, "seed %d", seed)
			g.assertVoters()
		})
	}
	t.Logf("slowest recovery %v", slowest)
}
