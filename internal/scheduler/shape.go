// Package scheduler assigns the free slots of a data centre to waiting tasks. It reads no
// clock, opens no socket and starts no goroutine.
package scheduler

// Shape is the resource need of a task or the capacity of an upstream.
type Shape struct {
	Slots        int
	MilliCores   int64
	MemoryBytes  int64
	Accelerators int
}

// Fits reports whether a task that needs need fits into s.
func (s Shape) Fits(need Shape) bool {
	return need.Slots <= s.Slots &&
		need.MilliCores <= s.MilliCores &&
		need.MemoryBytes <= s.MemoryBytes &&
		need.Accelerators <= s.Accelerators
}

// Plus returns the sum of both shapes.
func (s Shape) Plus(o Shape) Shape {
	return Shape{
		Slots:        s.Slots + o.Slots,
		MilliCores:   s.MilliCores + o.MilliCores,
		MemoryBytes:  s.MemoryBytes + o.MemoryBytes,
		Accelerators: s.Accelerators + o.Accelerators,
	}
}

// Minus returns the difference of s and o.
func (s Shape) Minus(o Shape) Shape {
	return Shape{
		Slots:        s.Slots - o.Slots,
		MilliCores:   s.MilliCores - o.MilliCores,
		MemoryBytes:  s.MemoryBytes - o.MemoryBytes,
		Accelerators: s.Accelerators - o.Accelerators,
	}
}
