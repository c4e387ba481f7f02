package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	announceInterval   = time.Second
	announceRetryDelay = 100 * time.Millisecond
	announceTimeout    = time.Second
)

// announcementJSON is the body of PUT /v1/upstreams/{name}.
type announcementJSON struct {
	Address      string    `json:"address"`
	DataCentre   string    `json:"data-centre"`
	Rack         string    `json:"rack"`
	Slots        int       `json:"slots"`
	Cores        float64   `json:"cores"`
	MemoryBytes  int64     `json:"memory-bytes"`
	Accelerators int       `json:"accelerators"`
	Services     []string  `json:"services"`
	Capabilities []string  `json:"capabilities"`
	Leaving      bool      `json:"leaving"`
	StartedAt    time.Time `json:"started-at"`
}

// Announce announces the upstream, immediately and then once a second, to one
// entry after another until the context is done.
func (r *Runner) Announce(ctx context.Context) {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil && len(r.config.Entries) > 0; i++ {
		delay := announceInterval
		if err := r.announceTo(ctx, client, i%len(r.config.Entries)); err != nil {
			delay = announceRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

func (r *Runner) announceTo(ctx context.Context, client *http.Client, entry int) error {
	body, err := json.Marshal(r.announcement())
	if err != nil {
		return fmt.Errorf("runner: encoding the announcement: %w", err)
	}
	url := fmt.Sprintf("http://%s/v1/upstreams/%s", r.config.Entries[entry], r.config.Name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("runner: creating the announcement request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("runner: sending the announcement: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	if res.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("runner: the entry refused the announcement with status %d", res.StatusCode)
	}
	r.mu.Lock()
	r.counts.Announced++
	r.mu.Unlock()
	return nil
}

func (r *Runner) announcement() announcementJSON {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.config
	return announcementJSON{
		Address: c.Address.String(), DataCentre: c.DataCentre, Rack: c.Rack, Slots: c.Slots,
		Cores: c.Cores, MemoryBytes: c.MemoryBytes, Accelerators: c.Accelerators,
		Services: c.Services, Capabilities: c.Capabilities, Leaving: r.leaving, StartedAt: r.started,
	}
}

// Shutdown announces that the upstream is leaving and waits until no task is
// running, or until the context is done.
func (r *Runner) Shutdown(ctx context.Context) error {
	r.Leave()
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	for i := range r.config.Entries {
		if r.announceTo(ctx, client, i) == nil {
			break
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("runner: tasks are still running: %w", ctx.Err())
	}
}
