package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bronzedrift.example/bronzedrift/internal/reporter"
)

// evacuateFlags are the flags of `bronzedrift evacuate`.
type evacuateFlags struct {
	operatorsClient
	cancel bool
	wait   time.Duration
}

// orderHedgeDelay is how long one daemon has to acknowledge an order before the next
// one is asked too. Orders are idempotent, and each second beyond the first is costly.
const orderHedgeDelay = time.Second

func newEvacuateCommand() *cobra.Command {
	f := &evacuateFlags{}
	c := &cobra.Command{
		Use:   "evacuate DATA-CENTRE",
		Short: "Start no more tasks in a data centre, or cancel that; running tasks finish",
		Long: "Start no more tasks in a data centre, or cancel that. Running tasks finish, queued ones move to other\n" +
			"data centres. The order is acknowledged once a quorum of the state VMs has it. It may be repeated to any\n" +
			"daemon; if one does not answer, the next address of --operators is tried.",
		Example: `  bronzedrift evacuate osijek-a --operators 127.0.0.1:7121,127.0.0.1:7141 --wait 30s
  bronzedrift evacuate osijek-a --cancel --operators 127.0.0.1:7121,127.0.0.1:7141`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return f.run(c, args[0]) },
	}
	f.addFlags(c)
	c.Flags().BoolVar(&f.cancel, "cancel", false, "cancel the evacuation: work returns in steps")
	c.Flags().DurationVar(&f.wait, "wait", 0, "how long to wait until no task runs in the data centre according to every daemon listed in --operators")
	return c
}

func (f *evacuateFlags) run(c *cobra.Command, dataCentre string) error {
	if f.cancel && f.wait > 0 {
		return &ExitError{ExitInvalidInput, "--wait: cannot be combined with --cancel"}
	}
	if err := f.parse(); err != nil {
		return err
	}
	e, err := f.order(c.Context(), dataCentre)
	if err != nil {
		return err
	}
	if want := reporter.EvacuationState(!f.cancel); e.State != want {
		return &ExitError{ExitConflict, fmt.Sprintf("conflict: another order followed; %s", describe(&e))}
	}
	_, _ = fmt.Fprintln(c.OutOrStdout(), describe(&e))
	if f.wait > 0 {
		return f.awaitEmpty(c, &e)
	}
	return nil
}

func describe(e *reporter.Evacuation) string {
	return fmt.Sprintf("%s is %s, revision %d", e.DataCentre, e.State, e.Revision)
}

// orderAnswer is what one daemon answered to an order.
type orderAnswer struct {
	address netip.AddrPort
	status  int
	body    []byte
	err     error
}

// order sends the order to one daemon after the other until one has a final answer. The
// next daemon is asked when one has failed or has not answered for orderHedgeDelay.
func (f *evacuateFlags) order(ctx context.Context, dataCentre string) (reporter.Evacuation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan orderAnswer, len(f.addresses))
	var faults []string
	next, pending, mayBeAccepted := 0, 0, false
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for next < len(f.addresses) || pending > 0 {
		select {
		case <-hedge.C:
			if next < len(f.addresses) {
				address := f.addresses[next]
				go func() { answers <- f.send(ctx, address, dataCentre) }()
				next++
				pending++
				hedge.Reset(orderHedgeDelay)
			}
		case a := <-answers:
			pending--
			if e, isFinal, err := a.parse(); isFinal {
				return e, err
			}
			mayBeAccepted = mayBeAccepted || a.mayBeAccepted()
			faults = append(faults, a.fault())
			hedge.Reset(0)
		}
	}
	if mayBeAccepted {
		return reporter.Evacuation{}, &ExitError{ExitOutcomeUnknown, "the outcome is unknown: " + strings.Join(faults, "; ") + "; repeat the command"}
	}
	return reporter.Evacuation{}, &ExitError{ExitFailure, "nothing was changed: " + strings.Join(faults, "; ")}
}

func (f *evacuateFlags) send(ctx context.Context, address netip.AddrPort, dataCentre string) orderAnswer {
	a := orderAnswer{address: address}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	method := http.MethodPut
	if f.cancel {
		method = http.MethodDelete
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+"/v1/evacuations/"+url.PathEscape(dataCentre), nil)
	if err != nil {
		a.err = fmt.Errorf("commander: %w", err)
		return a
	}
	if a.err = f.authorize(req); a.err != nil {
		return a
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		a.err = fmt.Errorf("commander: %w", err)
		return a
	}
	defer func() { _ = res.Body.Close() }()
	a.status = res.StatusCode
	a.body, a.err = io.ReadAll(io.LimitReader(res.Body, 1<<20))
	return a
}

// parse returns the result of the order if the answer is final: accepted, or refused by
// a daemon that knows evacuations.
func (a *orderAnswer) parse() (e reporter.Evacuation, isFinal bool, err error) {
	if a.err != nil {
		return e, false, nil
	}
	if a.status == http.StatusOK {
		return e, json.Unmarshal(a.body, &e) == nil, nil
	}
	var refusal reporter.EvacuationError
	if json.Unmarshal(a.body, &refusal) == nil && refusal.Outcome == "refused" {
		return e, true, &ExitError{ExitInvalidInput, "refused: " + refusal.Message}
	}
	return e, false, nil
}

// mayBeAccepted reports whether the order may take effect although it was not
// acknowledged. An order that was not sent, or that was rejected before it was
// processed, cannot.
func (a *orderAnswer) mayBeAccepted() bool {
	var op *net.OpError
	switch {
	case a.err == nil:
		return a.status == http.StatusOK || a.status >= http.StatusInternalServerError
	case errors.As(a.err, &op) && op.Op == "dial":
		return false
	}
	var urlError *url.Error
	return a.status != 0 || errors.As(a.err, &urlError)
}

func (a *orderAnswer) fault() string {
	if a.err != nil {
		return a.err.Error()
	}
	var body reporter.EvacuationError
	if json.Unmarshal(a.body, &body) == nil && body.Message != "" {
		return fmt.Sprintf("%s: %s", a.address, body.Message)
	}
	return fmt.Sprintf("%s returned status %d: %.200s", a.address, a.status, strings.TrimSpace(string(a.body)))
}

// occupancy is what the daemons report of an evacuated data centre.
type occupancy struct {
	tasks      int
	outOfReach []string
	uninformed []string
	superseded *reporter.Evacuation
}

func (o *occupancy) isEmpty() bool {
	return o.tasks == 0 && len(o.outOfReach) == 0 && len(o.uninformed) == 0
}

// awaitEmpty waits until every listed daemon knows of the evacuation and runs no task in
// the data centre.
func (f *evacuateFlags) awaitEmpty(c *cobra.Command, e *reporter.Evacuation) error {
	ctx, cancel := context.WithTimeout(c.Context(), f.wait)
	defer cancel()
	var last occupancy
	for isFirst := true; ; isFirst = false {
		// A reading that the end of the wait has cut short is not used.
		if o := f.readOccupancy(ctx, e); isFirst || ctx.Err() == nil {
			last = o
		}
		switch {
		case last.superseded != nil:
			return &ExitError{ExitConflict, "conflict: another order followed; " + describe(last.superseded)}
		case last.isEmpty():
			_, _ = fmt.Fprintf(c.OutOrStdout(), "no task runs in %s according to %d daemons\n", e.DataCentre, len(f.addresses))
			return nil
		}
		select {
		case <-ctx.Done():
			return &ExitError{ExitFailure, last.describe(e.DataCentre)}
		case <-time.After(pollInterval):
		}
	}
}

func (o *occupancy) describe(dataCentre string) string {
	text := fmt.Sprintf("evacuated, but %d tasks still run in %s", o.tasks, dataCentre)
	if len(o.uninformed) > 0 {
		text += "; not yet informed: " + strings.Join(o.uninformed, ", ")
	}
	if len(o.outOfReach) > 0 {
		text += "; out of reach: " + strings.Join(o.outOfReach, ", ")
	}
	return text
}

// readOccupancy asks all listed daemons at the same time, so that one that does not
// answer hides no other.
func (f *evacuateFlags) readOccupancy(ctx context.Context, e *reporter.Evacuation) occupancy {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	statuses := f.readStatuses(ctx)
	var o occupancy
	for i, s := range statuses {
		if s == nil {
			o.outOfReach = append(o.outOfReach, f.addresses[i].String())
			continue
		}
		record := findEvacuation(s, e.DataCentre)
		switch {
		case record == nil || record.Revision < e.Revision:
			o.uninformed = append(o.uninformed, s.VM)
		case record.State != e.State:
			o.superseded = record
		case record.RunningTasks != nil:
			o.tasks += *record.RunningTasks
		}
	}
	return o
}

func findEvacuation(s *reporter.Status, dataCentre string) *reporter.Evacuation {
	for i := range s.Evacuations {
		if s.Evacuations[i].DataCentre == dataCentre {
			return &s.Evacuations[i]
		}
	}
	return nil
}
