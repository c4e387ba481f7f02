package recorder

// decisionNumbers gives the event number of each decision of a holder or an entry.
// Decisions are logged by name. Numbers are never reused.
var decisionNumbers = map[string]EventNumber{
	"answered-completed": 801,
	"answered-failed":    802,
	"answered-cancelled": 803,
	"answered-not-run":   804,
	"answered-unknown":   805,
	"answered-timed-out": 806,
	"caller-gone":        807,
	"job-forwarded":      808,
	"job-resent":         809,
	"holder-lost":        810,
	"state-vms-lost":     811,
	"job-admitted":       821,
	"job-refused":        822,
	"job-completed":      823,
	"job-failed":         824,
	"job-cancelled":      825,
	"job-busy":           826,
	"job-lost":           827,
	"job-withdrawn":      828,
	"job-superseded":     829,
	"job-abandoned":      830,
	"task-started":       841,
	"start-refused":      842,
	"start-unanswered":   843,
	"start-invalid":      844,
	"start-void":         850,
	"run-lost":           851,
	"task-suspected":     852,
	"task-given-up":      853,
	"run-failed":         845,
	"run-ended-early":    846,
	"run-stuck":          847,
	"run-vanished":       848,
	"attempts-used-up":   849,
	"upstream-learnt":    861,
	"upstream-changed":   862,
	"upstream-gone":      863,
	"upstream-reborn":    864,
	"upstream-taking":    865,
	"upstream-held":      866,
	"upstream-released":  867,
	"upstream-offered":   868,
	"upstream-fenced":    869,
	"upstream-paused":    870,
	"hold-failed":        871,
	"leases-lapsed":      872,
	"stalled":            873,
	"upstream-lost":      874,
	"common-loss":        875,
	"upstream-isolated":  876,
	"evacuation-step":    877,
	"upstream-departing": 878,
	"capacity-reserved":  854,
	"start-open":         855,
	"start-fenced":       856,
	"vm-late":            879,
}

// DecisionNumber returns the number of a decision, or zero for an unknown name.
func DecisionNumber(name string) EventNumber { return decisionNumbers[name] }

// Decisions returns the numbers of all decisions by name.
func Decisions() map[string]EventNumber {
	all := make(map[string]EventNumber, len(decisionNumbers))
	for name, n := range decisionNumbers {
		all[name] = n
	}
	return all
}
