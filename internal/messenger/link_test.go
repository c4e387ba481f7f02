package messenger

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
)

// newTestLink returns a link that does not run, and the events of its messenger.
func newTestLink() (*link, *[]recorder.Event) {
	var events []recorder.Event
	m := &Messenger{config: Config{QueueLength: 16_384}, handlers: Handlers{
		Event: func(e recorder.Event) { events = append(events, e) },
		Clock: func() recorder.Clock { return recorder.Clock{} },
	}}
	return newLink(m, Peer{VM: "b", Inner: netip.MustParseAddrPort("127.77.1.2:17001")}), &events
}

// TestLogMessagesOfALinkAreBoundedInBytes guards against memory that fills with large messages of
// the log to a peer that reads slowly or not at all, and against a session that ends for it.
func TestLogMessagesOfALinkAreBoundedInBytes(t *testing.T) {
	const size, bound = 400 << 10, 16 << 20
	l, events := newTestLink()
	queued := 0
	for range 200 {
		if l.enqueue(outboundMessage{log: make([]byte, size)}) {
			queued += size
		}
	}
	assert.Positive(t, queued)
	assert.LessOrEqual(t, queued, bound)
	assert.True(t, l.enqueue(outboundMessage{relay: &wire.Relay{}}), "other messages pass")
	assert.Empty(t, l.overflow, "the session ends")
	assert.Len(t, *events, 1, "the loss is reported once")
}

// TestFramesAreBoundedInBytes guards against a frame of many large messages, behind which other
// messages wait for seconds on a narrow link.
func TestFramesAreBoundedInBytes(t *testing.T) {
	const size, bound = 100 << 10, 1 << 20
	l, _ := newTestLink()
	for range 100 {
		l.enqueue(outboundMessage{relay: &wire.Relay{Incarnation: string(make([]byte, size))}})
	}
	frame := l.nextFrame(<-l.queue, 1)
	total := 0
	for _, m := range frame.GetMessages() {
		total += len(m.GetRelay().GetIncarnation())
	}
	assert.LessOrEqual(t, total, bound)
}

// TestOtherMessagesPassTheLog guards against heartbeats that wait behind all large messages of
// the log on a narrow link.
func TestOtherMessagesPassTheLog(t *testing.T) {
	l, _ := newTestLink()
	for range 3 {
		l.enqueue(outboundMessage{log: make([]byte, 400<<10)})
	}
	l.enqueue(outboundMessage{relay: &wire.Relay{}})
	assert.Len(t, l.nextLogFrame(l.logs, <-l.logs.messages, 1).GetMessages(), 1)
	frame := l.nextFrame(<-l.queue, 2)
	assert.Len(t, frame.GetMessages(), 1)
	assert.NotNil(t, frame.GetMessages()[0].GetRelay())
}

// TestQueueOfTheLogHasRoomAgain guards against a queue that stays closed to the log after it was
// full once, by messages that were sent or discarded.
func TestQueueOfTheLogHasRoomAgain(t *testing.T) {
	payload := make([]byte, maxQueuedLogBytes)
	for name, empty := range map[string]func(l *link){
		"sent":      func(l *link) { l.nextLogFrame(l.logs, <-l.logs.messages, 1) },
		"discarded": func(l *link) { l.discardQueue() },
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := newTestLink()
			assert.True(t, l.enqueue(outboundMessage{log: payload}))
			assert.False(t, l.enqueue(outboundMessage{log: payload}))
			empty(l)
			assert.True(t, l.enqueue(outboundMessage{log: payload}))
		})
	}
}

// TestHeartbeatsPassAnOversizedMessage guards against heartbeats that are lost behind a snapshot
// or a push of more than the bound in bytes.
func TestHeartbeatsPassAnOversizedMessage(t *testing.T) {
	l, _ := newTestLink()
	assert.True(t, l.enqueue(outboundMessage{bulk: make([]byte, maxQueuedLogBytes+1)}))
	assert.True(t, l.enqueue(outboundMessage{log: make([]byte, maxQueuedLogBytes+1)}))
	assert.True(t, l.enqueue(outboundMessage{log: make([]byte, 60)}), "a heartbeat behind an oversized message is dropped")
}

// TestOversizedMessagePassesAHeartbeat guards against a snapshot that finds no room while a
// heartbeat waits.
func TestOversizedMessagePassesAHeartbeat(t *testing.T) {
	l, _ := newTestLink()
	assert.True(t, l.enqueue(outboundMessage{log: make([]byte, 60)}))
	assert.True(t, l.enqueue(outboundMessage{log: make([]byte, maxQueuedLogBytes+1)}), "a snapshot is dropped since one heartbeat waits")
	assert.False(t, l.enqueue(outboundMessage{log: make([]byte, maxQueuedLogBytes+1)}), "the bytes are not bounded")
}
