package reporter

// The states of a data centre.
const (
	Evacuated = "evacuated"
	Serving   = "serving"
)

// EvacuationState returns the state of a data centre.
func EvacuationState(active bool) string {
	if active {
		return Evacuated
	}
	return Serving
}

// Evacuation is the latest change of a data centre that was evacuated at some time. In
// /v1/status, RunningTasks is the number of tasks that the daemon has started on
// upstreams of the data centre and that still run.
type Evacuation struct {
	DataCentre   string `json:"data-centre"`
	State        string `json:"state"`
	Revision     uint64 `json:"revision"`
	ChangedAt    string `json:"changed-at,omitempty"`
	RunningTasks *int   `json:"tasks-running,omitempty"`
}

// Evacuations is the response body of GET /v1/evacuations.
type Evacuations struct {
	Revision    uint64       `json:"revision"`
	Evacuations []Evacuation `json:"evacuations"`
}

// EvacuationError is the response body for an order or a read that failed.
type EvacuationError struct {
	Outcome string `json:"outcome"`
	Message string `json:"message"`
}
