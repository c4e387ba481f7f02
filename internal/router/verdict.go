package router

import "sort"

// SubjectKind is the kind of subject that a verdict is about.
type SubjectKind string

// The kinds of subjects, as named by the monitoring group.
const (
	SubjectVM       SubjectKind = "vms"
	SubjectUpstream SubjectKind = "upstreams"
)

// Verdict is the monitoring group's decision whether one VM or upstream is down.
type Verdict struct {
	Kind     SubjectKind
	Name     string
	Down     bool
	Sequence uint64
}

type verdictKey struct {
	kind SubjectKind
	name string
}

type verdict struct {
	down     bool
	sequence uint64
}

// Apply applies a verdict unless one with the same or a higher sequence number is known,
// and reports whether it was applied.
func (r *Router) Apply(v Verdict) bool {
	key := verdictKey{v.Kind, v.Name}
	known, ok := r.verdicts[key]
	if ok && v.Sequence <= known.sequence {
		return false
	}
	r.verdicts[key] = verdict{down: v.Down, sequence: v.Sequence}
	clear(r.lessors)
	return true
}

// IsDown reports whether the latest verdict says that a VM or upstream is down.
func (r *Router) IsDown(kind SubjectKind, name string) bool {
	return r.verdicts[verdictKey{kind, name}].down
}

// Verdicts returns the latest verdicts, sorted by kind and name.
func (r *Router) Verdicts() []Verdict {
	list := make([]Verdict, 0, len(r.verdicts))
	for key, v := range r.verdicts {
		list = append(list, Verdict{Kind: key.kind, Name: key.name, Down: v.down, Sequence: v.sequence})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Kind != list[j].Kind {
			return list[i].Kind < list[j].Kind
		}
		return list[i].Name < list[j].Name
	})
	return list
}

// Text returns the state in the monitoring group's notation.
func (v Verdict) Text() string {
	if v.Down {
		return "down"
	}
	return "up"
}
