// Package listener implements the HTTP API for callers, upstreams, the
// monitoring group and operators.
package listener

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bronzedrift.example/bronzedrift/internal/acceptor"
	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/decoder"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/keeper"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/router"
)

// Config holds the settings of a Listener.
type Config struct {
	MaxBodyBytes     int64
	Services         []dispatcher.Service
	OperatorsSecret  string
	MonitoringSecret string
	Now              func() time.Time
}

// Handlers are the functions that the HTTP API calls for decoded requests.
type Handlers struct {
	// Submit submits a job and waits for its answer.
	Submit func(ctx context.Context, j *dispatcher.Job) (*dispatcher.Answer, error)
	// Query looks up a job or cancels it, by the kind of the query, and waits for
	// its state.
	Query    func(ctx context.Context, kind dispatcher.QueryKind, jobID, home string) (*dispatcher.Answer, error)
	Announce func(ctx context.Context, u *dispatcher.Upstream) error
	Verdict  func(ctx context.Context, v *router.Verdict) error
	Usage    func(name string, u decoder.Usage)
	Status   func(ctx context.Context) (any, error)
	Events   func(recorder.Filter) any
	Drain    func(ctx context.Context) error
	Event    func(recorder.Event)
	// ReadConfig returns the newest configuration by a linearizable read.
	ReadConfig   func(ctx context.Context) (keeper.View, error)
	ChangeConfig func(ctx context.Context, ch configurer.Change) (configurer.Outcome, error)
	Bootstrap    func(ctx context.Context) error
	RemoveVM     func(ctx context.Context, vm string) error
	// DataCentres returns the sorted names of the data centres that may be evacuated.
	DataCentres func() []string
	// Evacuate returns the record of a data centre after a quorum has committed that
	// it is evacuated (active) or that its evacuation is cancelled.
	Evacuate        func(ctx context.Context, dataCentre string, active bool) (configurer.Evacuation, error)
	ReadEvacuations func(ctx context.Context) (configurer.EvacuationSet, error)
}

// ErrOverloaded reports that the daemon's input queue is full.
var ErrOverloaded = errors.New("listener: the daemon is overloaded")

// Listener serves the HTTP API of one daemon.
type Listener struct {
	config   Config
	handlers Handlers
	services atomic.Pointer[[]dispatcher.Service]
}

// New returns a Listener. It opens no sockets; see Serve.
func New(c Config, h Handlers) *Listener {
	if c.Now == nil {
		c.Now = time.Now
	}
	l := &Listener{config: c, handlers: h}
	l.SetServices(c.Services)
	return l
}

// SetServices replaces the services. A service's timeout applies to jobs that
// set none.
func (l *Listener) SetServices(services []dispatcher.Service) {
	l.services.Store(&services)
}

// Callers returns the handler for callers, upstreams and the monitoring group.
func (l *Listener) Callers() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", l.serveSubmit)
	mux.HandleFunc("GET /v1/jobs/{id}", l.serveLookup)
	mux.HandleFunc("DELETE /v1/jobs/{id}", l.serveCancel)
	mux.HandleFunc("PUT /v1/upstreams/{name}", l.serveAnnounce)
	mux.HandleFunc("POST /v1/upstreams/{name}/usage", l.serveUsage)
	mux.HandleFunc("PUT /v1/verdicts/{kind}/{name}", l.serveVerdict)
	return mux
}

// Operators returns the handler for operators, which also accepts verdicts of
// the monitoring group.
func (l *Listener) Operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/status", l.requireSecret(l.config.OperatorsSecret, l.serveStatus))
	mux.Handle("GET /v1/events", l.requireSecret(l.config.OperatorsSecret, l.serveEvents))
	mux.Handle("POST /v1/drain", l.requireSecret(l.config.OperatorsSecret, l.serveDrain))
	mux.Handle("GET /v1/config", l.requireSecret(l.config.OperatorsSecret, l.serveConfig))
	mux.Handle("PUT /v1/config", l.requireSecret(l.config.OperatorsSecret, l.serveChange))
	mux.Handle("POST /v1/state/bootstrap", l.requireSecret(l.config.OperatorsSecret, l.serveBootstrap))
	mux.Handle("DELETE /v1/state/vms/{vm}", l.requireSecret(l.config.OperatorsSecret, l.serveRemoveVM))
	mux.Handle("GET /v1/evacuations", l.requireSecret(l.config.OperatorsSecret, l.serveEvacuations))
	mux.Handle("PUT /v1/evacuations/{dataCentre}", l.requireSecret(l.config.OperatorsSecret, l.serveEvacuate))
	mux.Handle("DELETE /v1/evacuations/{dataCentre}", l.requireSecret(l.config.OperatorsSecret, l.serveCancelEvacuation))
	mux.HandleFunc("PUT /v1/verdicts/{kind}/{name}", l.serveVerdict)
	return mux
}

func (l *Listener) serveSubmit(w http.ResponseWriter, r *http.Request) {
	j, err := decoder.DecodeJob(http.MaxBytesReader(w, r.Body, l.config.MaxBodyBytes))
	if err != nil {
		l.rejectInvalid(w, j, err)
		return
	}
	if j.Timeout == 0 {
		j.Timeout = l.defaultTimeout(j.Service)
	}
	a, err := l.handlers.Submit(r.Context(), j)
	if err != nil {
		l.rejectOverloaded(w, j, err)
		return
	}
	writeAnswer(w, httpStatus(a), a)
}

func (l *Listener) defaultTimeout(service string) time.Duration {
	for _, s := range *l.services.Load() {
		if s.Name == service {
			return s.Timeout
		}
	}
	return defaultTimeout
}

const defaultTimeout = 10 * time.Second

// rejectInvalid answers a submission whose body is invalid or too large.
func (l *Listener) rejectInvalid(w http.ResponseWriter, j *dispatcher.Job, err error) {
	a := &dispatcher.Answer{
		JobID: j.ID, Home: j.Home, Outcome: dispatcher.Failed, Ran: dispatcher.NotRun,
		Reason: dispatcher.Malformed, Message: err.Error(),
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		a.Reason = dispatcher.TooLarge
		a.Message = fmt.Sprintf("body: must be at most %d bytes", tooLarge.Limit)
	}
	writeAnswer(w, httpStatus(a), a)
}

// rejectOverloaded answers a submission that the daemon did not queue or answer.
// A submission that was not queued started nothing, but an earlier one with the
// same id may have run.
func (l *Listener) rejectOverloaded(w http.ResponseWriter, j *dispatcher.Job, err error) {
	a := &dispatcher.Answer{
		JobID: j.ID, Home: j.Home, Outcome: dispatcher.Failed, Ran: dispatcher.Unknown,
		Reason: dispatcher.Overloaded, Message: err.Error(), RetryAfter: time.Second,
	}
	if errors.Is(err, ErrOverloaded) {
		a.Message = "nothing was started by this submission; the outcome of an earlier one is unknown"
	}
	writeAnswer(w, httpStatus(a), a)
}

func (l *Listener) serveLookup(w http.ResponseWriter, r *http.Request) {
	l.serveQuery(w, r, dispatcher.Lookup)
}

func (l *Listener) serveCancel(w http.ResponseWriter, r *http.Request) {
	l.serveQuery(w, r, dispatcher.Cancel)
}

func (l *Listener) serveQuery(w http.ResponseWriter, r *http.Request, kind dispatcher.QueryKind) {
	a, err := l.handlers.Query(r.Context(), kind, r.PathValue("id"), r.URL.Query().Get("home"))
	switch {
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err.Error())
	case a.Reason == dispatcher.UnknownJob, a.Reason == dispatcher.HomeUnreachable:
		writeAnswer(w, httpStatus(a), a)
	default:
		writeAnswer(w, http.StatusOK, a)
	}
}

func (l *Listener) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	u, err := decoder.DecodeUpstream(l.config.Now(), r.PathValue("name"), http.MaxBytesReader(w, r.Body, l.config.MaxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	u.Announced = l.config.Now()
	if err := l.handlers.Announce(r.Context(), u); err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *Listener) serveUsage(w http.ResponseWriter, r *http.Request) {
	u, err := decoder.DecodeUsage(http.MaxBytesReader(w, r.Body, l.config.MaxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	l.handlers.Usage(r.PathValue("name"), u)
	w.WriteHeader(http.StatusNoContent)
}

// serveVerdict accepts a verdict of the monitoring group. The request must carry
// the group's secret or, if none is configured, come from a loopback address.
func (l *Listener) serveVerdict(w http.ResponseWriter, r *http.Request) {
	if !l.isMonitoringAuthorized(r) {
		l.handlers.Event(recorder.Event{Number: recorder.SecretRefused, Peer: r.RemoteAddr, Task: recorder.NoTask})
		writeError(w, http.StatusUnauthorized, "the monitoring group's secret is wrong or missing")
		return
	}
	v, err := decoder.DecodeVerdict(r.PathValue("kind"), r.PathValue("name"), http.MaxBytesReader(w, r.Body, l.config.MaxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := l.handlers.Verdict(r.Context(), v); err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *Listener) isMonitoringAuthorized(r *http.Request) bool {
	if l.config.MonitoringSecret == "" {
		remote, err := netip.ParseAddrPort(r.RemoteAddr)
		return err == nil && remote.Addr().Unmap().IsLoopback()
	}
	return hasBearerSecret(r, l.config.MonitoringSecret)
}

func hasBearerSecret(r *http.Request, secret string) bool {
	presented := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(presented), []byte(secret)) == 1
}

// requireSecret rejects requests that don't carry the secret. An empty secret
// accepts all requests.
func (l *Listener) requireSecret(secret string, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if secret != "" && !hasBearerSecret(r, secret) {
			l.handlers.Event(recorder.Event{Number: recorder.SecretRefused, Peer: r.RemoteAddr, Task: recorder.NoTask})
			writeError(w, http.StatusUnauthorized, "the operators' secret is wrong or missing")
			return
		}
		next(w, r)
	})
}

func (l *Listener) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := l.handlers.Status(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (l *Listener) serveEvents(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	f := recorder.Filter{Job: q.Get("job"), Team: q.Get("team"), Upstream: q.Get("upstream")}
	for _, bound := range []struct {
		key    string
		target *time.Time
	}{{"since", &f.Since}, {"until", &f.Until}} {
		text := q.Get(bound.key)
		if text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			writeError(w, http.StatusBadRequest, bound.key+": must be a time as in RFC 3339")
			return
		}
		*bound.target = at
	}
	writeJSON(w, http.StatusOK, l.handlers.Events(f))
}

func (l *Listener) serveDrain(w http.ResponseWriter, r *http.Request) {
	if err := l.handlers.Drain(r.Context()); err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorJSON{Message: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"message":"the answer cannot be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// RefuseBusy answers a request for whose body there is no room. An earlier submission of the same job may
// have run.
func RefuseBusy(w http.ResponseWriter, _ *http.Request) {
	writeAnswer(w, http.StatusServiceUnavailable, &dispatcher.Answer{
		Outcome: dispatcher.Failed, Ran: dispatcher.Unknown, Reason: dispatcher.Overloaded, RetryAfter: time.Second,
		Message: "too many requests are being read; nothing was started by this one",
	})
}

// BodyLimit returns the limit in bytes of the bodies of all requests.
func (l *Listener) BodyLimit(*http.Request) int64 { return l.config.MaxBodyBytes }

// Serve serves an address until the context ends. Requests in flight then have the grace period to finish.
func Serve(ctx context.Context, server *acceptor.Server, grace time.Duration) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
		_ = server.Close()
	}()
	if err := server.Serve(); err != nil {
		return fmt.Errorf("listener: %w", err)
	}
	<-done
	return nil
}
