package listener

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/decoder"
	"bronzedrift.example/bronzedrift/internal/keeper"
	"bronzedrift.example/bronzedrift/internal/loader"
)

// configJSON is the response body of /v1/config.
type configJSON struct {
	Outcome string        `json:"outcome,omitempty"`
	Version uint64        `json:"version"`
	Config  string        `json:"config,omitempty"`
	Message string        `json:"message,omitempty"`
	History []versionJSON `json:"history,omitempty"`
}

type versionJSON struct {
	Version uint64 `json:"version"`
	Config  string `json:"config"`
}

const maxConfigBytes = 4 << 20

func (l *Listener) serveConfig(w http.ResponseWriter, r *http.Request) {
	view, err := l.handlers.ReadConfig(r.Context())
	if err != nil {
		writeConfigError(w, err)
		return
	}
	body := configJSON{Version: view.Current.Version, Config: string(view.Current.Text)}
	if r.URL.Query().Get("history") == "true" {
		for _, h := range view.History {
			body.History = append(body.History, versionJSON{Version: h.Version, Config: string(h.Text)})
		}
	}
	writeJSON(w, http.StatusOK, body)
}

// serveChange handles a change of the configuration. It responds 200 if the
// change is accepted, 409 with the winning configuration on a conflict, 400 with
// key, line and range if the change is invalid, and 504 if the outcome is
// unknown: the client should then resend the same change.
func (l *Listener) serveChange(w http.ResponseWriter, r *http.Request) {
	ch, err := readChange(w, r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, configJSON{Outcome: "refused", Message: err.Error()})
		return
	}
	o, err := l.handlers.ChangeConfig(r.Context(), ch)
	switch {
	case err != nil:
		writeConfigError(w, err)
	case o.Kind == configurer.Accepted:
		writeJSON(w, http.StatusOK, configJSON{Outcome: string(o.Kind), Version: o.Version})
	default:
		l.writeConflict(w, r, o)
	}
}

func readChange(w http.ResponseWriter, r *http.Request) (configurer.Change, error) {
	q := r.URL.Query()
	ch := configurer.Change{ID: q.Get("change-id")}
	base, err := strconv.ParseUint(q.Get("base-version"), 10, 64)
	if err != nil {
		return ch, &decoder.FieldError{Field: "base-version", Fault: "must be a whole number from 0"}
	}
	ch.BaseVersion = base
	if !decoder.IsName(ch.ID, 128) {
		return ch, &decoder.FieldError{Field: "change-id", Fault: "must be 1 to 128 letters, digits, dots, hyphens or underscores"}
	}
	ch.Text, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		return ch, fmt.Errorf("listener: reading the configuration: %w", err)
	}
	_, err = loader.ParseConfiguration("configuration", ch.Text)
	return ch, err
}

func (l *Listener) writeConflict(w http.ResponseWriter, r *http.Request, o configurer.Outcome) {
	body := configJSON{
		Outcome: string(o.Kind), Version: o.Version,
		Message: fmt.Sprintf("base-version: version %d won; apply the change on top of it under a new change-id", o.Version),
	}
	if view, err := l.handlers.ReadConfig(r.Context()); err == nil {
		body.Config = versionText(view, o.Version)
	}
	writeJSON(w, http.StatusConflict, body)
}

// versionText returns the text of a version in the history, or the current text
// if the history lacks it.
func versionText(v keeper.View, version uint64) string {
	for _, h := range v.History {
		if h.Version == version {
			return string(h.Text)
		}
	}
	return string(v.Current.Text)
}

func (l *Listener) serveBootstrap(w http.ResponseWriter, r *http.Request) {
	if err := l.handlers.Bootstrap(r.Context()); err != nil {
		writeConfigError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *Listener) serveRemoveVM(w http.ResponseWriter, r *http.Request) {
	if err := l.handlers.RemoveVM(r.Context(), r.PathValue("vm")); err != nil {
		writeConfigError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeConfigError(w http.ResponseWriter, err error) {
	var refused *keeper.RefusedError
	switch {
	case errors.As(err, &refused):
		writeJSON(w, http.StatusConflict, configJSON{Outcome: "refused", Message: err.Error()})
	case errors.Is(err, keeper.ErrUnavailable):
		writeJSON(w, http.StatusGatewayTimeout, configJSON{
			Outcome: "unknown", Message: err.Error() + "; send the same change again with the same change-id",
		})
	default:
		writeJSON(w, http.StatusConflict, configJSON{Outcome: "refused", Message: err.Error()})
	}
}
