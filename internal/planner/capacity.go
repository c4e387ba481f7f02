package planner

import "math"

// Capacity is what a task needs or a server has. Figures that a caller does not count stay
// zero, and any unit will do as long as the servers and the tasks use the same.
type Capacity struct {
	Slots, MilliCores, MemoryMB, Accelerators int64
}

func (c Capacity) fitsIn(o Capacity) bool {
	return c.Slots <= o.Slots && c.MilliCores <= o.MilliCores && c.MemoryMB <= o.MemoryMB && c.Accelerators <= o.Accelerators
}

func (c Capacity) plus(o Capacity) Capacity {
	return Capacity{c.Slots + o.Slots, c.MilliCores + o.MilliCores, c.MemoryMB + o.MemoryMB, c.Accelerators + o.Accelerators}
}

func (c Capacity) minus(o Capacity) Capacity {
	return Capacity{c.Slots - o.Slots, c.MilliCores - o.MilliCores, c.MemoryMB - o.MemoryMB, c.Accelerators - o.Accelerators}
}

// shareBeyond is the largest share of a figure of c that exceeds that of o.
func (c Capacity) shareBeyond(o Capacity) float64 {
	return max(excessShare(c.Slots, o.Slots), excessShare(c.MilliCores, o.MilliCores),
		excessShare(c.MemoryMB, o.MemoryMB), excessShare(c.Accelerators, o.Accelerators))
}

// without is c less a share of each figure, rounded down.
func (c Capacity) without(share float64) Capacity {
	rest := func(figure int64) int64 { return int64(math.Floor(float64(figure) * (1 - share))) }
	return Capacity{rest(c.Slots), rest(c.MilliCores), rest(c.MemoryMB), rest(c.Accelerators)}
}

func excessShare(needed, free int64) float64 {
	if needed <= free {
		return 0
	}
	return float64(needed-free) / float64(needed)
}
