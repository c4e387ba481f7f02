package replicator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testLeader is the leader of a group of three, whose other members answer when a test
// says so.
type testLeader struct {
	t   *testing.T
	now time.Time
	*Replicator
	others map[string]*Replicator
	sent   []Message
}

const (
	testRoundTrip = 4 * time.Millisecond
	// testAppendBytes is above what one Append may hold, a single large entry excepted.
	testAppendBytes = 1 << 20
	// maxTestMessages ends a test whose members answer each other without end.
	maxTestMessages = 10_000
)

// newTestLeader returns the leader "0" after it has applied a snapshot that the other members
// have too, or lack.
func newTestLeader(t *testing.T, othersHaveSnapshot bool) *testLeader {
	t.Helper()
	members := []Member{{ID: "0", VM: "0", Voter: true}, {ID: "1", VM: "1", Voter: true}, {ID: "2", VM: "2", Voter: true}}
	saved := Saved{HardState: HardState{Term: 1}, Snapshot: &Snapshot{Index: 1, Term: 1, Members: members}}
	l := &testLeader{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), others: map[string]*Replicator{}}
	l.Replicator = New(l.now, "0", "0", saved, DefaultTiming(), 1)
	if !othersHaveSnapshot {
		saved = Saved{HardState: HardState{Term: 1}}
	}
	for _, m := range members[1:] {
		l.others[m.ID] = New(l.now, m.ID, m.VM, saved, DefaultTiming(), 1)
	}
	l.now = l.now.Add(time.Second)
	l.step(func(out *Effects) { l.Tick(l.now, out) })
	for range 2 {
		l.exchange("1", "2")
	}
	require.Equal(t, Leader, l.role)
	l.advance(time.Second, "1", "2")
	return l
}

func (l *testLeader) step(decide func(out *Effects)) {
	var out Effects
	decide(&out)
	l.sent = append(append(l.sent, out.Requests...), out.Sends...)
}

// take returns the messages sent since the last call.
func (l *testLeader) take() []Message {
	sent := l.sent
	l.sent = nil
	return sent
}

// exchange delivers what was sent to some members, and their answers. It returns the messages
// to all members.
func (l *testLeader) exchange(answering ...string) []Message {
	sent := l.take()
	require.LessOrEqual(l.t, len(sent), maxTestMessages, "messages at once")
	for i := range sent {
		for _, id := range answering {
			if sent[i].To == id {
				l.deliver(id, &sent[i])
			}
		}
	}
	return sent
}

// deliver delivers a message to a member, and its answers.
func (l *testLeader) deliver(id string, m *Message) {
	if m.Kind == InstallSnapshot {
		return
	}
	var out Effects
	l.others[id].Handle(l.now, m, &out)
	for i := range out.Sends {
		l.step(func(effects *Effects) { l.Handle(l.now, &out.Sends[i], effects) })
	}
}

func (l *testLeader) propose(size int) {
	l.step(func(out *Effects) {
		_, err := l.Propose(l.now, make([]byte, size), out)
		require.NoError(l.t, err)
	})
}

// advance lets time pass, during which some members answer after a round trip. It returns
// the messages to all members.
func (l *testLeader) advance(d time.Duration, answering ...string) []Message {
	var sent []Message
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(testRoundTrip)
		l.step(func(out *Effects) { l.Tick(l.now, out) })
		sent = append(sent, l.exchange(answering...)...)
	}
	return sent
}

func payloadBytes(messages []Message, to string) int {
	n := 0
	for _, m := range messages {
		if m.To != to {
			continue
		}
		for i := range m.Entries {
			n += len(m.Entries[i].Payload)
		}
	}
	return n
}

// TestSilentMemberIsSentOneBatch guards against links and memory that fill with the same entries,
// sent again at each heartbeat, proposal and read to a member that does not answer.
func TestSilentMemberIsSentOneBatch(t *testing.T) {
	const size = 400 << 10
	for name, repeat := range map[string]func(l *testLeader){
		"heartbeats": func(*testLeader) {},
		"proposals":  func(l *testLeader) { l.propose(size) },
		"reads":      func(l *testLeader) { l.step(func(out *Effects) { _ = l.Read(l.now, 1, out) }) },
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLeader(t, true)
			for range 10 {
				l.propose(size)
			}
			sent := l.take()
			for range 20 {
				repeat(l)
				sent = append(sent, l.advance(200*time.Millisecond, "1")...)
			}
			assert.Equal(t, Leader, l.role)
			assert.LessOrEqual(t, payloadBytes(sent, "2"), testAppendBytes)
		})
	}
}

// TestMemberThatReturnsCatchesUp guards against entries that stay unsent since a batch of them
// was lost, and against an Append that takes a narrow link for long.
func TestMemberThatReturnsCatchesUp(t *testing.T) {
	l := newTestLeader(t, true)
	for range 20 {
		l.propose(200 << 10)
		l.advance(100*time.Millisecond, "1")
	}
	sent := l.advance(time.Second, "1", "2")
	assert.Equal(t, l.LastIndex(), l.others["2"].LastIndex())
	assert.Equal(t, l.Status().Commit, l.others["2"].Status().Commit)
	assertBoundedAppends(t, sent)
	assert.LessOrEqual(t, payloadBytes(sent, "2"), 21*200<<10, "an entry is sent twice")
}

func assertBoundedAppends(t *testing.T, sent []Message) {
	t.Helper()
	for i := range sent {
		if len(sent[i].Entries) > 1 {
			assert.LessOrEqual(t, payloadBytes(sent[i:i+1], sent[i].To), testAppendBytes)
		}
	}
}

// TestSmallEntriesNeedFewRoundTrips guards against a log whose rate is that of its round trips.
func TestSmallEntriesNeedFewRoundTrips(t *testing.T) {
	l := newTestLeader(t, true)
	const entries = 2000
	for range entries {
		l.propose(100)
	}
	rounds := 0
	for ; l.Status().Commit < l.LastIndex(); rounds++ {
		require.Less(t, rounds, 100, "the entries are not committed")
		l.exchange("1", "2")
	}
	assert.LessOrEqual(t, rounds, 12)
}

// TestRefusedAppendsDoNotRepeatAtOnce guards against messages at the speed of a round trip to
// a member that waits for a snapshot and refuses every Append.
func TestRefusedAppendsDoNotRepeatAtOnce(t *testing.T) {
	l := newTestLeader(t, false)
	sent := l.advance(time.Second, "1", "2")
	for _, id := range []string{"1", "2"} {
		n := 0
		for i := range sent {
			if sent[i].To == id {
				n++
			}
		}
		assert.LessOrEqual(t, n, 30, "messages to %s in a second", id)
	}
}

// TestReadIsConfirmedWhileABatchIsInFlight guards against reads that fail while a member
// receives a large entry.
func TestReadIsConfirmedWhileABatchIsInFlight(t *testing.T) {
	l := newTestLeader(t, true)
	l.propose(400 << 10)
	l.take()
	var out Effects
	require.NoError(t, l.Read(l.now, 7, &out))
	l.sent = slices.Concat(out.Requests, out.Sends)
	for i := range l.sent {
		assert.Empty(t, l.sent[i].Entries, "a heartbeat is small")
	}
	for _, m := range l.take() {
		var answer, result Effects
		l.others[m.To].Handle(l.now, &m, &answer)
		for i := range answer.Sends {
			l.Handle(l.now, &answer.Sends[i], &result)
		}
		if len(result.ReadyReads) > 0 {
			assert.Equal(t, []uint64{7}, result.ReadyReads)
			return
		}
	}
	assert.Fail(t, fmt.Sprint("the read is not confirmed, commit ", l.commit))
}

// TestLostProbeIsRepeated guards against a new member that never gets the log: the first Append
// after its addition was lost, and no entry follows.
func TestLostProbeIsRepeated(t *testing.T) {
	l := newTestLeader(t, true)
	l.others["3"] = New(l.now, "3", "3", Saved{HardState: HardState{Term: 1}}, DefaultTiming(), 1)
	l.step(func(out *Effects) { require.NoError(t, l.Add(l.now, "3", "3", out)) })
	l.exchange("1", "2")
	sent := l.advance(time.Second, "1", "2", "3")
	assert.True(t, slices.ContainsFunc(sent, func(m Message) bool { return m.To == "3" && m.Kind == InstallSnapshot }),
		"the new member is sent no snapshot")
}
