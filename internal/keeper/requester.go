package keeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
)

const (
	requestRetryInterval    = 300 * time.Millisecond
	maxRequestRetryInterval = 1500 * time.Millisecond
	// slowLinkRate is the rate in bytes per second of the narrowest links on which a text
	// must arrive before it is sent again.
	slowLinkRate = 2 << 20
	// passedRequestTTL is how long the origin of a request that was passed on is kept. It is
	// longer than callers wait.
	passedRequestTTL = 10 * time.Second
)

// transferTime is the time that a text takes on a slow link.
func transferTime(size int) time.Duration {
	return time.Duration(size) * time.Second / slowLinkRate
}

// requester sends the requests of this VM to replicas until one is answered, and hands on the
// responses to requests that this VM has passed on. It is safe for concurrent use and does not
// need the Keeper's goroutine, which a disk may block.
type requester struct {
	vm       string
	stateVMs func() []string
	send     func(vm string, m *wire.StateMessage)
	// askOwn hands a request to the replica of this VM. It is nil on a VM without one, and
	// must not block.
	askOwn func(w *wire.Request)
	now    func() time.Time
	done   <-chan struct{}

	mu      sync.Mutex
	waiting map[uint64]chan *wire.Response
	passed  map[uint64]passedRequest
	last    int
}

// passedRequest is a request of another VM that waits for the leader's response.
type passedRequest struct {
	origin   string
	passedAt time.Time
}

func newRequester(c Config, h Handlers, done <-chan struct{}) *requester {
	return &requester{
		vm: c.VM, stateVMs: c.StateVMs, send: h.Send, now: c.Now, done: done,
		waiting: map[uint64]chan *wire.Response{}, passed: map[uint64]passedRequest{},
	}
}

// request asks this VM's replica and then, at each repeat, the next one, until the request is
// answered. All requests are safe to repeat.
func (r *requester) request(ctx context.Context, w *wire.Request) (*wire.Response, error) {
	// The leader tells the requests of all VMs apart by their numbers.
	w.Number, w.Origin = rand.Uint64(), r.vm
	answer := make(chan *wire.Response, 1)
	r.mu.Lock()
	r.waiting[w.Number] = answer
	r.mu.Unlock()
	defer r.forget(w.GetNumber())
	ticker := time.NewTicker(min(requestRetryInterval+transferTime(proto.Size(w)), maxRequestRetryInterval))
	defer ticker.Stop()
	for attempt := 0; ; attempt++ {
		r.ask(attempt, w)
		select {
		case response := <-answer:
			if response.GetError() != "" {
				return nil, &RefusedError{Message: response.GetError()}
			}
			return response, nil
		case <-ticker.C:
		case <-ctx.Done():
			return nil, errors.Join(ErrUnavailable, ctx.Err())
		case <-r.done:
			return nil, ErrUnavailable
		}
	}
}

func (r *requester) forget(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, number)
}

// ask sends a request to one replica: at the first attempt to that of this VM, and at the
// following ones to those of the other state VMs and of this VM in turn.
func (r *requester) ask(attempt int, w *wire.Request) {
	others := slices.DeleteFunc(slices.Clone(r.stateVMs()), func(vm string) bool { return vm == r.vm })
	if r.askOwn != nil && attempt%(len(others)+1) == 0 {
		r.askOwn(cloneRequest(w, false))
		return
	}
	if len(others) == 0 {
		return
	}
	r.mu.Lock()
	r.last++
	vm := others[r.last%len(others)]
	r.mu.Unlock()
	repeat := cloneRequest(w, false)
	if attempt > 0 {
		// The leader may not reach this VM: the response comes back by the VM that is asked.
		repeat.Origin = ""
	}
	r.send(vm, &wire.StateMessage{Request: repeat})
}

// pass sends a request of this VM or of another one, from, to the leader. If the request names
// no origin, the response comes back by this VM.
func (r *requester) pass(leaderVM, from string, w *wire.Request) {
	passedOn := cloneRequest(w, true)
	if w.GetOrigin() == "" {
		passedOn.Origin = r.vm
		now := r.now()
		r.mu.Lock()
		for number, p := range r.passed {
			if now.Sub(p.passedAt) > passedRequestTTL {
				delete(r.passed, number)
			}
		}
		r.passed[w.GetNumber()] = passedRequest{origin: from, passedAt: now}
		r.mu.Unlock()
	}
	r.send(leaderVM, &wire.StateMessage{Request: passedOn})
}

// receive hands a response to the request that waits for it, or to the VM whose request was
// passed on.
func (r *requester) receive(response *wire.Response) {
	number := response.GetNumber()
	r.mu.Lock()
	answer, passed := r.waiting[number], r.passed[number]
	delete(r.waiting, number)
	delete(r.passed, number)
	r.mu.Unlock()
	switch {
	case answer != nil:
		answer <- response
	case passed.origin != "":
		r.send(passed.origin, &wire.StateMessage{Response: response})
	}
}
