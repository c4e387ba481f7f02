// Package router maps jobs to VMs: it chooses the home data centre of a job, the range
// that its id belongs to, the holder of a range and the lessor of a data centre's slots.
// It applies the verdicts of the monitoring group and detects no failures itself.
package router

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// VM is a machine of the system as listed in the configuration.
type VM struct {
	Name       string
	DataCentre string
}

// Router is one entry's view of the VMs of the system. It is not safe for concurrent use.
type Router struct {
	vms         []VM
	byName      map[string]VM
	dataCentres []string
	// candidates lists, for each range, the VMs that may hold it in order of preference.
	candidates map[string][]string
	verdicts   map[verdictKey]verdict
	draining   map[string]bool
	// lessors caches the lessor of each data centre until the entries change, or a verdict
	// or a drain is recorded.
	lessors map[string]string
}

// New returns a Router for the configured entries.
func New(entries []VM) *Router {
	r := &Router{
		verdicts: map[verdictKey]verdict{},
		draining: map[string]bool{},
		lessors:  map[string]string{},
	}
	r.SetEntries(entries)
	return r
}

// SetEntries replaces the configured entries.
func (r *Router) SetEntries(entries []VM) {
	r.vms = append([]VM(nil), entries...)
	sort.Slice(r.vms, func(i, j int) bool { return r.vms[i].Name < r.vms[j].Name })
	r.byName = map[string]VM{}
	r.dataCentres = nil
	r.candidates = map[string][]string{}
	clear(r.lessors)
	seen := map[string]bool{}
	for _, vm := range r.vms {
		r.byName[vm.Name] = vm
		if !seen[vm.DataCentre] {
			seen[vm.DataCentre] = true
			r.dataCentres = append(r.dataCentres, vm.DataCentre)
		}
	}
	sort.Strings(r.dataCentres)
	for _, vm := range r.vms {
		r.candidates[vm.Name] = r.rankCandidates(vm.Name, vm.DataCentre)
	}
}

// DataCentres returns the sorted names of the configured data centres.
func (r *Router) DataCentres() []string {
	return r.dataCentres
}

// HasDataCentre reports whether a data centre has a configured entry.
func (r *Router) HasDataCentre(name string) bool {
	i := sort.SearchStrings(r.dataCentres, name)
	return i < len(r.dataCentres) && r.dataCentres[i] == name
}

// DataCentreOf returns the data centre of a configured VM.
func (r *Router) DataCentreOf(vm string) string {
	return r.byName[vm].DataCentre
}

// VMs returns the configured entries, sorted by name.
func (r *Router) VMs() []VM {
	return r.vms
}

// Home returns the home data centre of a job that names none: the one with the highest
// rendezvous weight for the job id.
func (r *Router) Home(jobID string) string {
	var best string
	var bestWeight uint64
	for _, dc := range r.dataCentres {
		if w := rendezvousWeight(dc, jobID); best == "" || w > bestWeight {
			best, bestWeight = dc, w
		}
	}
	return best
}

// Range returns the range of its home data centre that a job id belongs to. Each range
// is named after a configured entry, whatever the verdict on that entry.
func (r *Router) Range(home, jobID string) string {
	var best string
	var bestWeight uint64
	for _, vm := range r.vms {
		if vm.DataCentre != home {
			continue
		}
		if w := rendezvousWeight(vm.Name, jobID); best == "" || w > bestWeight {
			best, bestWeight = vm.Name, w
		}
	}
	return best
}

// Holder returns the VM that holds a range: the first of its candidates that is neither
// down nor draining, normally the VM that the range is named after.
func (r *Router) Holder(rangeName string) (vm string, ok bool) {
	for _, name := range r.candidates[rangeName] {
		if !r.IsDown(SubjectVM, name) && !r.draining[name] {
			return name, true
		}
	}
	return "", false
}

// NextHolder returns the VM that would hold a range if the given one did not. It may be
// draining; ok is false if all others are down.
func (r *Router) NextHolder(rangeName, holder string) (vm string, ok bool) {
	for _, name := range r.candidates[rangeName] {
		if name != holder && !r.IsDown(SubjectVM, name) {
			return name, true
		}
	}
	return "", false
}

// Lessor returns the entry that leases out the slots of a data centre: one of its own
// entries or, while none of them is available, one of another data centre.
func (r *Router) Lessor(dataCentre string) (vm string, ok bool) {
	vm, ok = r.lessors[dataCentre]
	if !ok {
		vm = r.chooseLessor(dataCentre)
		r.lessors[dataCentre] = vm
	}
	return vm, vm != ""
}

func (r *Router) chooseLessor(dataCentre string) string {
	var vm string
	var bestWeight uint64
	bestLocal := false
	for _, c := range r.vms {
		if r.IsDown(SubjectVM, c.Name) || r.draining[c.Name] {
			continue
		}
		local := c.DataCentre == dataCentre
		w := rendezvousWeight(c.Name, dataCentre)
		if vm == "" || local && !bestLocal || local == bestLocal && w > bestWeight {
			vm, bestWeight, bestLocal = c.Name, w, local
		}
	}
	return vm
}

// SetDraining records whether a VM is draining and takes no new jobs.
func (r *Router) SetDraining(vm string, draining bool) {
	r.draining[vm] = draining
	clear(r.lessors)
}

// IsDraining reports whether a VM has announced that it is draining.
func (r *Router) IsDraining(vm string) bool {
	return r.draining[vm]
}

// rankCandidates orders the candidates for a range: the VM it is named after, the other
// entries of the data centre, then the rest, each group by rendezvous weight.
func (r *Router) rankCandidates(rangeName, dataCentre string) []string {
	vms := append([]VM(nil), r.vms...)
	tier := func(vm VM) int {
		switch {
		case vm.Name == rangeName:
			return 0
		case vm.DataCentre == dataCentre:
			return 1
		}
		return 2
	}
	sort.Slice(vms, func(i, j int) bool {
		if a, b := tier(vms[i]), tier(vms[j]); a != b {
			return a < b
		}
		return rendezvousWeight(vms[i].Name, rangeName) > rendezvousWeight(vms[j].Name, rangeName)
	})
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	return names
}

func rendezvousWeight(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
