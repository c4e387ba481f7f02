package keeper

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"bronzedrift.example/bronzedrift/internal/storer"
)

// volatileDisk is a disk in memory that loses at a loss of power what was not synced. It may
// be slow, hang, or refuse writes.
type volatileDisk struct {
	mu     sync.Mutex
	random *rand.Rand
	// names are the files as the process sees them, and durable those that have survived a
	// sync. They differ by the pending changes, each of which a loss of power keeps or loses.
	names, durable map[string]*volatileFile
	pending        []nameChange
	// syncTime is the duration of a sync, hangsUntil when operations return again, and
	// refusesUntil when writes succeed again.
	syncTime     time.Duration
	hangsUntil   time.Time
	refusesUntil time.Time
}

// volatileFile is the synced content of a file and the writes after it.
type volatileFile struct {
	synced []byte
	writes [][]byte
}

// nameChange is a rename, or a removal if to is empty.
type nameChange struct {
	from, to string
	file     *volatileFile
}

var errDiskFull = errors.New("no space left on device")

const usualSyncTime = 9 * time.Millisecond

func newVolatileDisk(seed uint64) *volatileDisk {
	return &volatileDisk{
		random: rand.New(rand.NewPCG(seed, 23)), names: map[string]*volatileFile{}, durable: map[string]*volatileFile{}, syncTime: usualSyncTime,
	}
}

func (f *volatileFile) content() []byte {
	return append(slices.Clone(f.synced), slices.Concat(f.writes...)...)
}

// losePower keeps each write and each change of a name that was not synced, or loses it, or
// tears the write. Sometimes all are lost.
func (d *volatileDisk) losePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	losesAll := d.random.IntN(3) == 0
	for _, change := range d.pending {
		if losesAll || d.random.IntN(2) == 0 {
			continue
		}
		if d.durable[change.from] == change.file {
			delete(d.durable, change.from)
		}
		if change.to != "" {
			d.durable[change.to] = change.file
		}
	}
	for _, file := range d.durable {
		for _, data := range file.writes {
			switch n := d.random.IntN(3); {
			case losesAll || n == 0:
			case n == 1:
				file.synced = append(file.synced, data...)
			default:
				file.synced = append(file.synced, data[:d.random.IntN(len(data)+1)]...)
			}
		}
		file.writes = nil
	}
	d.pending, d.names = nil, maps.Clone(d.durable)
}

// setFault makes the disk slow, and makes it hang and refuse writes for a time.
func (d *volatileDisk) setFault(syncTime, hangs, refuses time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.syncTime, d.hangsUntil, d.refusesUntil = syncTime, now.Add(hangs), now.Add(refuses)
}

// open returns the disk for one process. After end, the process stops at its next operation.
func (d *volatileDisk) open() (disk *storer.Disk, end func()) {
	ended := make(chan struct{})
	// wait waits for the disk and locks it.
	wait := func(operation time.Duration) {
		d.mu.Lock()
		operation = max(operation, time.Until(d.hangsUntil))
		d.mu.Unlock()
		select {
		case <-ended:
			runtime.Goexit()
		case <-time.After(operation):
		}
		select {
		case <-ended:
			runtime.Goexit()
		default:
		}
		d.mu.Lock()
	}
	sync := func(run func()) error {
		d.mu.Lock()
		duration := d.syncTime
		d.mu.Unlock()
		wait(duration)
		defer d.mu.Unlock()
		run()
		return nil
	}
	disk = &storer.Disk{
		List: func() ([]string, error) {
			wait(0)
			defer d.mu.Unlock()
			return slices.Sorted(maps.Keys(d.names)), nil
		},
		Read: func(name string) ([]byte, error) {
			wait(0)
			defer d.mu.Unlock()
			if d.names[name] == nil {
				return nil, fs.ErrNotExist
			}
			return d.names[name].content(), nil
		},
		Append: func(name string, data []byte) error {
			wait(0)
			defer d.mu.Unlock()
			return d.append(name, data)
		},
		Sync: func(name string) error {
			return sync(func() {
				if file := d.names[name]; file != nil {
					file.synced, file.writes = file.content(), nil
					if !d.isRenamed(file) {
						d.durable[name] = file
					}
				}
			})
		},
		Truncate: func(name string, size int64) error {
			return sync(func() { d.names[name].synced, d.names[name].writes = d.names[name].content()[:size], nil })
		},
		Rename: func(from, to string) error {
			wait(0)
			defer d.mu.Unlock()
			d.pending = append(d.pending, nameChange{from, to, d.names[from]})
			d.names[to] = d.names[from]
			delete(d.names, from)
			return nil
		},
		Remove: func(name string) error {
			wait(0)
			defer d.mu.Unlock()
			if d.names[name] == nil {
				return fs.ErrNotExist
			}
			d.pending = append(d.pending, nameChange{from: name, file: d.names[name]})
			delete(d.names, name)
			return nil
		},
		SyncFolder: func() error {
			return sync(func() { d.durable, d.pending = maps.Clone(d.names), nil })
		},
	}
	return disk, func() { close(ended) }
}

// append writes a part of the data if the disk refuses writes.
func (d *volatileDisk) append(name string, data []byte) error {
	file := d.names[name]
	if file == nil {
		file = &volatileFile{}
		d.names[name] = file
	}
	if time.Now().Before(d.refusesUntil) {
		file.writes = append(file.writes, slices.Clone(data[:d.random.IntN(len(data)+1)]))
		return errDiskFull
	}
	file.writes = append(file.writes, slices.Clone(data))
	return nil
}

// isRenamed reports whether the name of a file depends on a folder that was not synced.
func (d *volatileDisk) isRenamed(file *volatileFile) bool {
	return slices.ContainsFunc(d.pending, func(c nameChange) bool { return c.file == file })
}
