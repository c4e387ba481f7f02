package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"bronzedrift.example/bronzedrift/internal/reporter"
)

// Messages holds the totals of a cluster's messages by kind.
type Messages struct {
	Inner           uint64
	Starts          uint64
	RefusedStarts   uint64
	BouncedForwards uint64
	UnusedGrants    uint64
	Probes          uint64
	Joined          uint64
	InnerBytes      uint64
}

// Messages sums the messages of all running daemons and of all upstreams.
func (c *Cluster) Messages(ctx context.Context) (Messages, error) {
	var m Messages
	for i, s := range c.Settings {
		if c.cancels[i] == nil {
			continue
		}
		var status reporter.Status
		if err := getJSON(ctx, fmt.Sprintf("http://%s/v1/status", s.Listen.Operators), &status); err != nil {
			return m, err
		}
		counts := status.Messages
		m.Inner += counts.InnerSent
		m.InnerBytes += counts.InnerBytes
		m.Starts += counts.Starts
		m.RefusedStarts += counts.RefusedStarts + counts.Superseded
		m.BouncedForwards += counts.BouncedForwards
		m.UnusedGrants += counts.UnusedGrants
		m.Probes += counts.Probes
	}
	for _, u := range c.Upstreams {
		m.Joined += u.Counts().Joined
	}
	return m, nil
}

func getJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("assembler: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("assembler: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := json.NewDecoder(res.Body).Decode(v); err != nil {
		return fmt.Errorf("assembler: %w", err)
	}
	return nil
}
