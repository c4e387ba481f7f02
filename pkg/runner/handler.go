package runner

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// The HTTP headers exchanged between entries and upstreams.
const (
	HeaderOwner = "Bronzedrift-Owner"
	HeaderEpoch = "Bronzedrift-Epoch"
	HeaderLease = "Bronzedrift-Lease"
	HeaderRan   = "Bronzedrift-Ran"
	// HeaderStartedAt is, in a start, the announced start time of the upstream
	// that the task is meant for, and in a refusal that of the upstream itself.
	HeaderStartedAt = "Bronzedrift-Started-At"
)

const maxTaskBodyBytes = 64 << 20

// stateJSON is the response body of GET and DELETE /v1/tasks/{id}.
type stateJSON struct {
	TaskID string          `json:"task-id"`
	State  string          `json:"state"`
	Status int             `json:"status,omitempty"`
	Result json.RawMessage `json:"result,omitempty"`
	// StartedAt is when this incarnation of the upstream began to remember
	// tasks.
	StartedAt time.Time `json:"started-at"`
}

// fenceJSON is the request and response body of PUT /v1/fences/{owner}.
type fenceJSON struct {
	Epoch   int64      `json:"epoch"`
	TaskIDs []string   `json:"task-ids,omitempty"`
	Since   *time.Time `json:"since,omitempty"`
	// StartedAt is as in stateJSON.
	StartedAt *time.Time `json:"started-at,omitempty"`
}

// Handler returns the HTTP handler of an upstream.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks/{id}", r.serveStart)
	mux.HandleFunc("GET /v1/tasks/{id}", r.serveLookup)
	mux.HandleFunc("DELETE /v1/tasks/{id}", r.serveDelete)
	mux.HandleFunc("PUT /v1/fences/{owner}", r.serveFence)
	return mux
}

func (r *Runner) serveStart(w http.ResponseWriter, req *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxTaskBodyBytes))
	if err != nil {
		refuse(w, 0, "the payload was not received whole")
		return
	}
	epoch, err := strconv.ParseInt(req.Header.Get(HeaderEpoch), 10, 64)
	if err != nil || epoch > MaxEpoch {
		refuse(w, 0, HeaderEpoch+" is no whole number")
		return
	}
	lease, err := time.ParseDuration(req.Header.Get(HeaderLease))
	if err != nil {
		refuse(w, 0, HeaderLease+" is no duration")
		return
	}
	meantFor, err := parseStartedAt(req.Header.Get(HeaderStartedAt))
	if err != nil {
		refuse(w, 0, HeaderStartedAt+" is no time")
		return
	}
	t := Task{ID: req.PathValue("id"), Payload: payload, Lease: lease}
	started, fenceEpoch, err := r.start(t, req.Header.Get(HeaderOwner), epoch, meantFor)
	if err != nil {
		if errors.Is(err, ErrRestarted) {
			w.Header().Set(HeaderStartedAt, r.started.Format(time.RFC3339Nano))
		}
		refuse(w, fenceEpoch, err.Error())
		return
	}
	select {
	case <-started.done:
		r.writeResult(w, started)
	case <-req.Context().Done():
	}
}

// parseStartedAt returns the zero time for a start that names none: it is meant
// for any incarnation.
func parseStartedAt(header string) (time.Time, error) {
	if header == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, header)
	if err != nil {
		return time.Time{}, fmt.Errorf("runner: %s: %w", HeaderStartedAt, err)
	}
	return t, nil
}

// refuse replies that a task was not started, with the epoch of the fence that
// prevented it, if any.
func refuse(w http.ResponseWriter, fenceEpoch int64, message string) {
	w.Header().Set(HeaderRan, "no")
	if fenceEpoch > 0 {
		w.Header().Set(HeaderEpoch, strconv.FormatInt(fenceEpoch, 10))
	}
	http.Error(w, message, http.StatusServiceUnavailable)
}

func (r *Runner) writeResult(w http.ResponseWriter, t *task) {
	if t.err != nil {
		http.Error(w, t.err.Error(), http.StatusInternalServerError)
		return
	}
	if t.evicted {
		http.Error(w, "the result is no longer kept", http.StatusGone)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(t.result)))
	_, _ = w.Write(t.result)
}

func (r *Runner) serveLookup(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	known := r.lookup(id)
	if known == nil {
		writeJSON(w, http.StatusNotFound, stateJSON{TaskID: id, State: "unknown", StartedAt: r.started})
		return
	}
	writeJSON(w, http.StatusOK, r.stateOf(known))
}

func (r *Runner) serveDelete(w http.ResponseWriter, req *http.Request) {
	known := r.fenceTask(req.PathValue("id"))
	if req.URL.Query().Get("stop") == "true" && known.cancel != nil {
		known.cancel()
	}
	writeJSON(w, http.StatusOK, r.stateOf(known))
}

func (r *Runner) stateOf(t *task) stateJSON {
	s := stateJSON{TaskID: t.id, StartedAt: r.started}
	switch {
	case t.fenced:
		s.State = "fenced"
	case !t.isDone():
		s.State = "running"
	case t.err != nil:
		s.State, s.Status = "finished", http.StatusInternalServerError
	case t.evicted:
		s.State, s.Status = "finished", http.StatusGone
	default:
		s.State, s.Status, s.Result = "finished", http.StatusOK, t.result
	}
	return s
}

// MaxEpoch is the highest epoch that an upstream accepts. It leaves room for those of later owners.
const MaxEpoch = 1 << 62

var errEpochTooHigh = errors.New("the epoch is out of range")

func (r *Runner) serveFence(w http.ResponseWriter, req *http.Request) {
	var body fenceJSON
	err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 1<<16)).Decode(&body)
	if err == nil && body.Epoch > MaxEpoch {
		err = errEpochTooHigh
	}
	if err != nil {
		http.Error(w, errors.Join(errors.New("runner: fence"), err).Error(), http.StatusBadRequest)
		return
	}
	startedIDs, fenceEpoch := r.fenceOwner(req.PathValue("owner"), body.Epoch)
	if fenceEpoch > 0 {
		writeJSON(w, http.StatusConflict, fenceJSON{Epoch: fenceEpoch})
		return
	}
	since := r.memorySince()
	writeJSON(w, http.StatusOK, fenceJSON{Epoch: body.Epoch, TaskIDs: startedIDs, Since: &since, StartedAt: &r.started})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
