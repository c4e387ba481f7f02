package messenger

import "sync/atomic"

// logQueue holds messages of one kind that wait for a link, bounded in number and in bytes. A
// message enters while fewer than maxQueuedLogBytes wait, and one of at most maxSmallLogBytes
// also later, so that heartbeats and votes pass. At most maxQueuedLogBytes, one message and
// 1 MiB of small ones wait.
type logQueue struct {
	messages chan []byte
	bytes    *atomic.Int64
	// isDropping is set from the first message without room to the next one with room.
	isDropping *atomic.Bool
}

const (
	maxQueuedLogs    = 1024
	maxSmallLogBytes = 1 << 10
)

func newLogQueue() logQueue {
	return logQueue{messages: make(chan []byte, maxQueuedLogs), bytes: &atomic.Int64{}, isDropping: &atomic.Bool{}}
}

// add queues a message if there is room. If not, it reports whether the one before had room.
func (q *logQueue) add(payload []byte) (isQueued, isFirstLoss bool) {
	size := int64(len(payload))
	hasRoom := q.bytes.Add(size)-size < maxQueuedLogBytes
	if hasRoom || size <= maxSmallLogBytes {
		select {
		case q.messages <- payload:
			if hasRoom {
				q.isDropping.Store(false)
			}
			return true, false
		default:
		}
	}
	q.bytes.Add(-size)
	return false, !q.isDropping.Swap(true)
}

// taken notes that a message has left the queue.
func (q *logQueue) taken(payload []byte) { q.bytes.Add(-int64(len(payload))) }

func (q *logQueue) discard() {
	for {
		select {
		case payload := <-q.messages:
			q.taken(payload)
		default:
			return
		}
	}
}
