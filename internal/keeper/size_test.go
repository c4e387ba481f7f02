package keeper

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/replicator"
	"bronzedrift.example/bronzedrift/internal/storer"
)

const (
	// serviceDiskBytes is the disk of a state VM in service.
	serviceDiskBytes = 128 << 20
	// largeTextBytes is the size of a configuration of 2,700 routes.
	largeTextBytes = 512 << 10
	// maxTextBytes is the size of the largest configuration that operators may send.
	maxTextBytes = 16 << 20
	// largeChangeTime is the time within which a large change must be acknowledged.
	largeChangeTime = 2 * time.Second
)

// limitedDisk is a disk in memory that holds at most limit bytes. An append that does not
// fit is written in part, as on a file system.
type limitedDisk struct {
	mu          sync.Mutex
	files       map[string][]byte
	limit, peak int
	// isRefusing makes every append fail without a byte written.
	isRefusing bool
}

func newLimitedDisk(limit int) *limitedDisk {
	return &limitedDisk{files: map[string][]byte{}, limit: limit}
}

// used returns the bytes of all files. The caller holds the lock.
func (d *limitedDisk) used() int {
	total := 0
	for _, data := range d.files {
		total += len(data)
	}
	return total
}

// setFree limits what may still be written to a number of bytes.
func (d *limitedDisk) setFree(free int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = d.used() + free
}

func (d *limitedDisk) setLimit(limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = limit
}

func (d *limitedDisk) setRefusing(isRefusing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isRefusing = isRefusing
}

// peakBytes returns the most that the disk held at a time.
func (d *limitedDisk) peakBytes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peak
}

func (d *limitedDisk) names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files))
}

func (d *limitedDisk) append(name string, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isRefusing {
		return syscall.EIO
	}
	fitting := max(0, min(len(data), d.limit-d.used()))
	d.files[name] = append(d.files[name], data[:fitting]...)
	d.peak = max(d.peak, d.used())
	if fitting < len(data) {
		return syscall.ENOSPC
	}
	return nil
}

// locked runs a file operation that cannot fail.
func (d *limitedDisk) locked(operation func()) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	operation()
	return nil
}

func (d *limitedDisk) disk() *storer.Disk {
	return &storer.Disk{
		List: func() ([]string, error) { return d.names(), nil },
		Read: func(name string) ([]byte, error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			data, ok := d.files[name]
			if !ok {
				return nil, fs.ErrNotExist
			}
			return slices.Clone(data), nil
		},
		Append: d.append,
		Sync:   func(string) error { return nil },
		Truncate: func(name string, size int64) error {
			return d.locked(func() { d.files[name] = d.files[name][:size] })
		},
		Rename: func(from, to string) error {
			return d.locked(func() {
				d.files[to] = d.files[from]
				delete(d.files, from)
			})
		},
		Remove:     func(name string) error { return d.locked(func() { delete(d.files, name) }) },
		SyncFolder: func() error { return nil },
	}
}

// inServiceCluster runs a test with four state VMs, of which three are maintained as voters,
// on disks of a size in bytes.
func inServiceCluster(t *testing.T, diskBytes int, test func(t *testing.T, c *testCluster, disks map[string]*limitedDisk)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &testCluster{t: t, vms: map[string]*testVM{}, cut: map[string]bool{}, voters: 3}
		c.heartbeats.Store(true)
		disks := map[string]*limitedDisk{}
		for i := range 4 {
			name := fmt.Sprint("s", i+1)
			disks[name] = newLimitedDisk(diskBytes)
			c.states = append(c.states, name)
			c.vms[name] = &testVM{name: name, disk: disks[name].disk(), founder: true}
		}
		for _, name := range c.names() {
			c.start(name)
		}
		defer func() {
			// A Keeper ends only once its disk takes writes.
			for _, d := range disks {
				d.setLimit(math.MaxInt)
				d.setRefusing(false)
			}
			c.stopAll()
		}()
		time.Sleep(settleTime)
		require.NotEmpty(t, c.leader())
		test(t, c, disks)
	})
}

// mustChangeLarge submits a change at a VM, which must be accepted within largeChangeTime.
func (c *testCluster) mustChangeLarge(vm string, ch configurer.Change) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), largeChangeTime)
	defer cancel()
	o, err := c.keeper(vm).Change(ctx, ch)
	require.NoError(c.t, err, "%s at %s", ch.ID, vm)
	require.Equal(c.t, configurer.Accepted, o.Kind, "%s at %s", ch.ID, vm)
}

// largeChange returns a change that the operator numbered, as the platform submits it.
func largeChange(version, size int) configurer.Change {
	return configurer.Change{ID: fmt.Sprint("version-", version), Version: uint64(version), Text: textOf(version, size)}
}

func textOf(version, size int) []byte {
	return bytes.Repeat([]byte{byte('a' + version%26)}, size)
}

// assertRead checks that each state VM answers a read with the newest version.
func (c *testCluster) assertRead(version, size int) {
	c.t.Helper()
	time.Sleep(settleTime)
	for _, vm := range c.states {
		ctx, cancel := context.WithTimeout(context.Background(), largeChangeTime)
		current, err := c.keeper(vm).ReadCurrent(ctx)
		cancel()
		if assert.NoError(c.t, err, vm) {
			assert.EqualValues(c.t, version, current.Version, vm)
			assert.True(c.t, bytes.Equal(textOf(version, size), current.Text), "%s has another text", vm)
		}
	}
}

// logBytes returns the payload of the entries that a replica holds in memory.
func (c *testCluster) logBytes(vm string) int {
	k, result := c.keeper(vm), make(chan int, 1)
	k.enqueue(input{run: func(time.Time) {
		total := 0
		for _, e := range k.replica.EntriesAfter(0) {
			total += len(e.Payload)
		}
		result <- total
	}})
	select {
	case total := <-result:
		return total
	case <-time.After(settleTime):
		require.Fail(c.t, "the Keeper is blocked", vm)
		return 0
	}
}

// Large changes must not fill the disks of the state VMs: no change is acknowledged and no
// read answered once they are full.
func TestLargeChangesFitOnDisk(t *testing.T) {
	for _, test := range []struct {
		name          string
		changes, size int
	}{
		{"many of 2,700 routes", 300, largeTextBytes},
		{"some of the largest size", 12, maxTextBytes},
	} {
		t.Run(test.name, func(t *testing.T) {
			inServiceCluster(t, serviceDiskBytes, func(t *testing.T, c *testCluster, disks map[string]*limitedDisk) {
				peak := 0
				for i := range test.changes {
					c.mustChangeLarge(c.states[i%len(c.states)], largeChange(i+1, test.size))
					for _, vm := range c.states {
						peak = max(peak, c.logBytes(vm))
					}
				}
				c.assertRead(test.changes, test.size)
				assert.LessOrEqual(t, peak, 3*maxTextBytes, "bytes of the log in memory")
				for _, vm := range c.states {
					t.Logf("%s: peak on disk %d bytes, in memory %d bytes", vm, disks[vm].peakBytes(), peak)
					assert.Less(t, disks[vm].peakBytes(), serviceDiskBytes, vm)
				}
			})
		})
	}
}

// The state VMs must have the last acknowledged version after they were all killed at once,
// and a disk that was refusing writes must be written again.
func TestLargeChangesAfterFaults(t *testing.T) {
	t.Run("all killed at once", func(t *testing.T) {
		inServiceCluster(t, serviceDiskBytes, func(_ *testing.T, c *testCluster, _ map[string]*limitedDisk) {
			for i := range 120 {
				c.mustChangeLarge(c.states[i%len(c.states)], largeChange(i+1, largeTextBytes))
				if i%17 == 16 {
					c.stopAll()
					for _, vm := range c.states {
						c.start(vm)
					}
					time.Sleep(settleTime)
				}
			}
			c.assertRead(120, largeTextBytes)
		})
	})
	t.Run("a disk that refuses writes for some seconds", func(t *testing.T) {
		inServiceCluster(t, serviceDiskBytes, func(_ *testing.T, c *testCluster, disks map[string]*limitedDisk) {
			for i := range 60 {
				vm := c.states[i%len(c.states)]
				if i%10 == 5 {
					disks[vm].setRefusing(true)
					time.Sleep(settleTime)
				}
				c.mustChangeLarge(c.states[(i+1)%len(c.states)], largeChange(i+1, largeTextBytes))
				if i%10 == 5 {
					disks[vm].setRefusing(false)
					time.Sleep(settleTime)
				}
			}
			c.assertRead(60, largeTextBytes)
		})
	})
	t.Run("a disk that something else fills for some seconds", func(t *testing.T) {
		inServiceCluster(t, serviceDiskBytes, func(t *testing.T, c *testCluster, disks map[string]*limitedDisk) {
			for i := range 60 {
				vm := c.states[i%len(c.states)]
				if i%10 == 5 {
					disks[vm].setFree(largeTextBytes / 2)
				}
				c.mustChangeLarge(c.states[(i+1)%len(c.states)], largeChange(i+1, largeTextBytes))
				if i%10 == 5 {
					time.Sleep(settleTime)
					disks[vm].setLimit(serviceDiskBytes)
					time.Sleep(settleTime)
				}
			}
			c.assertRead(60, largeTextBytes)
			for vm, d := range disks {
				for _, name := range d.names() {
					assert.False(t, strings.HasSuffix(name, ".new"), "%s keeps %s", vm, name)
				}
			}
		})
	})
}

// The history of the own engine must not fill the disks, and its snapshot must not grow with
// the number of large versions.
func TestLargeHistoryFitsOnDisk(t *testing.T) {
	const changes = 110
	inServiceCluster(t, serviceDiskBytes, func(t *testing.T, c *testCluster, disks map[string]*limitedDisk) {
		for i := range changes {
			c.mustChangeLarge(c.states[i%len(c.states)], configurer.Change{
				ID: fmt.Sprint("change-", i), BaseVersion: uint64(i), Text: textOf(i+1, largeTextBytes),
			})
		}
		c.assertRead(changes, largeTextBytes)
		for _, vm := range c.states {
			size := make(chan int, 1)
			k := c.keeper(vm)
			k.enqueue(input{run: func(time.Time) {
				state, _ := k.stateMachine.Snapshot()
				size <- len(state)
			}})
			assert.LessOrEqual(t, <-size, maxTextBytes, "%s: bytes of a snapshot", vm)
			assert.Less(t, disks[vm].peakBytes(), serviceDiskBytes/2, vm)
		}
	})
}

// Entries that leaders of later terms replace before they are committed must not fill the disk
// of a follower.
func TestReplacedEntriesFitOnDisk(t *testing.T) {
	d := newLimitedDisk(serviceDiskBytes)
	f := openFollower(t, d.disk())
	payload, err := configurer.EncodeChange(largeChange(1, largeTextBytes))
	require.NoError(t, err)
	for term := uint64(2); term < 100; term++ {
		f.handle(input{from: "b", message: &wire.StateMessage{Log: encodeMessage(&replicator.Message{
			Kind: replicator.Append, From: "b#founder", FromVM: "b", To: f.identity, Term: term,
			Index: firstIndex - 1, LogTerm: 1, Entries: []replicator.Entry{{Index: firstIndex, Term: term, Payload: payload}}, Commit: 1,
		})}})
	}
	assert.Less(t, d.peakBytes(), 2*minCompactionBytes)
	restarted := openFollower(t, d.disk())
	assert.EqualValues(t, firstIndex, restarted.replica.LastIndex())
	assert.EqualValues(t, 99, restarted.replica.Status().Term)
}

// While a disk blocks the Keeper, messages of other VMs must neither fill the memory nor block
// the reader of a link, which delivers the heartbeats as well.
func TestQueuedMessagesStayBounded(t *testing.T) {
	const newest = 1_000_000
	for _, test := range []struct {
		name           string
		messages, size int
	}{
		{"large messages", 300, 1 << 20},
		{"more messages than the queue holds", 2 * inputQueueLength, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := openFollower(t, newMemoryDisk())
				greeted := 0
				f.handlers.Send = func(_ string, m *wire.StateMessage) {
					if m.GetAnnounceMember() != "" {
						greeted++
					}
				}
				go func() {
					for i := range test.messages {
						f.Receive("b", &wire.StateMessage{Log: encodeMessage(&replicator.Message{
							Kind: replicator.Append, From: "b#founder", FromVM: "b", To: f.identity, Term: 1, Index: firstIndex - 1, LogTerm: 1,
							Entries: []replicator.Entry{{Index: firstIndex, Term: 1, Payload: textOf(i, test.size)}},
						})})
					}
					f.Receive("b", &wire.StateMessage{Configuration: &wire.Configuration{Version: newest, Text: textOf(0, test.size)}})
					f.PeerUp("b")
					f.RequestNewerVersion("b", 1)
					f.RequestNewerEvacuations("b", 1)
					close(f.done)
				}()
				time.Sleep(time.Second)
				isDone := false
				select {
				case <-f.done:
					isDone = true
				default:
				}
				assert.True(t, isDone, "the reader of a link is blocked")
				queued := 0
				for len(f.inputs) > 0 {
					in := <-f.inputs
					if in.message != nil {
						queued += proto.Size(in.message)
					} else {
						f.handle(in)
					}
				}
				assert.LessOrEqual(t, queued, 2*maxTextBytes, "bytes of queued messages")
				for !isDone {
					select {
					case <-f.inputs:
					case <-f.done:
						isDone = true
					}
				}
				f.Keeper.tick()
				assert.EqualValues(t, newest, f.active.Version, "the newest version was dropped")
				assert.Equal(t, 1, greeted, "a new peer was not greeted")
				assert.Positive(t, f.DroppedInputs())
			})
		})
	}
}

// Large changes that cannot be committed must not fill the log of a leader, and must not keep
// small orders out of it.
func TestUncommittedChangesStayBounded(t *testing.T) {
	inServiceCluster(t, serviceDiskBytes, func(t *testing.T, c *testCluster, disks map[string]*limitedDisk) {
		leader := c.leader()
		c.drop(func(_, _ string, m *wire.StateMessage) bool { return len(m.GetLog().GetEntries()) > 0 })
		for i := range 150 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			_, err := c.keeper(leader).Change(ctx, largeChange(i+1, largeTextBytes))
			cancel()
			require.ErrorIs(t, err, ErrUnavailable)
		}
		assert.LessOrEqual(t, c.logBytes(leader), 2*maxTextBytes)
		require.Equal(t, leader, c.leader())
		ordered := make(chan error, 1)
		go func() {
			_, _, err := c.order(leader, "east", true, largeChangeTime)
			ordered <- err
		}()
		time.Sleep(linkLatency)
		assert.Less(t, disks[leader].peakBytes(), serviceDiskBytes/2)
		c.release()
		require.NoError(t, <-ordered)
		c.mustChangeLarge(leader, largeChange(1000, largeTextBytes))
		c.assertRead(1000, largeTextBytes)
	})
}
