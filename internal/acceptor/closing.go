package acceptor

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Kind is why a connection was closed or a request refused.
type Kind string

// The kinds of closings.
const (
	// HeadTimedOut: a head was not complete in time.
	HeadTimedOut Kind = "head-timed-out"
	// BodyTimedOut: nothing of a body arrived for too long.
	BodyTimedOut Kind = "body-timed-out"
	// BodyStalled: a body made no progress while others waited.
	BodyStalled Kind = "body-stalled"
	// AnswerNotRead: a client did not read its answer while others waited.
	AnswerNotRead Kind = "answer-not-read"
	// Inactive: a connection was between requests, and there was no place for another one.
	Inactive Kind = "inactive"
	// HeadTooLarge: a head was over its limit.
	HeadTooLarge Kind = "head-too-large"
	// NoRoom: a request was refused, since there was no room for its body in time.
	NoRoom Kind = "no-room"
)

// reportInterval is the shortest interval between two reports of closings of one address and kind.
const reportInterval = time.Second

// closings counts and reports closings.
type closings struct {
	acceptor *Acceptor
	total    *prometheus.CounterVec
	mu       sync.Mutex
	pending  map[closingKey]*pendingClosings
}

type closingKey struct {
	address string
	kind    Kind
}

type pendingClosings struct {
	count      int
	reportedAt time.Time
}

func newClosings(a *Acceptor) *closings {
	return &closings{
		acceptor: a, pending: map[closingKey]*pendingClosings{},
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bronzedrift", Name: "client_closings_total", Help: "Connections closed and requests refused, by address and kind.",
		}, []string{"address", "kind"}),
	}
}

func (c *closings) add(address string, kind Kind) {
	c.total.WithLabelValues(address, string(kind)).Inc()
	now := c.acceptor.config.Now()
	key := closingKey{address, kind}
	c.mu.Lock()
	p := c.pending[key]
	if p == nil {
		p = &pendingClosings{}
		c.pending[key] = p
	}
	p.count++
	count := 0
	if now.Sub(p.reportedAt) >= reportInterval {
		count, p.count, p.reportedAt = p.count, 0, now
	}
	c.mu.Unlock()
	if count > 0 && c.acceptor.config.Closed != nil {
		c.acceptor.config.Closed(address, kind, count)
	}
}

// Collectors returns the metrics of the acceptor.
func (a *Acceptor) Collectors() []prometheus.Collector {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "bronzedrift", Name: name, Help: help}, value)
	}
	return []prometheus.Collector{
		a.closings.total,
		gauge("client_connections", "Open connections of clients.", func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			sum := 0
			for _, s := range a.servers {
				sum += s.listener.count()
			}
			return float64(sum)
		}),
		gauge("client_body_bytes", "Bytes reserved for bodies of requests.", func() float64 { return float64(a.reserved.Load()) }),
		gauge("client_bodies_waiting", "Bodies that wait for room.", func() float64 { return float64(a.waiting.Load()) }),
	}
}
