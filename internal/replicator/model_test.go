package replicator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// modelBounds limits the events on one execution path.
type modelBounds struct {
	timeouts, restarts, proposals, reads int
	depth                                int
	// losesVoteOnRestart injects a fault: a restarted replica has lost its vote.
	losesVoteOnRestart bool
}

// modelState is the state of three replicas, their disks and the messages in flight.
// Message loss is covered by paths that never deliver a message.
type modelState struct {
	nodes    [3]*Replicator
	disks    [3]Saved
	messages []Message
	leaders  map[uint64]string
	timeouts int
	restarts int
	proposed int
	reads    int
	depth    int
}

var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *modelState) now() time.Time {
	return modelStart.Add(time.Duration(s.timeouts) * 10 * time.Second)
}

func newModel() *modelState {
	members := []Member{{ID: "0", VM: "0", Voter: true}, {ID: "1", VM: "1", Voter: true}, {ID: "2", VM: "2", Voter: true}}
	s := &modelState{leaders: map[uint64]string{}}
	for i := range s.nodes {
		s.disks[i] = Saved{HardState: HardState{Term: 1}, Snapshot: &Snapshot{Index: 1, Term: 1, Members: members}}
		s.nodes[i] = New(modelStart, fmt.Sprint(i), fmt.Sprint(i), s.disks[i], DefaultTiming(), 1)
	}
	return s
}

func (r *Replicator) clone() *Replicator {
	c := *r
	c.random = rand.New(rand.NewPCG(1, 1))
	c.log.entries = slices.Clone(r.log.entries)
	c.votes = maps.Clone(r.votes)
	c.pendingReads = slices.Clone(r.pendingReads)
	c.progress = map[string]*progress{}
	for id, p := range r.progress {
		copied := *p
		c.progress[id] = &copied
	}
	return &c
}

func (s *modelState) clone() *modelState {
	c := *s
	c.messages = slices.Clone(s.messages)
	c.leaders = maps.Clone(s.leaders)
	c.depth++
	return &c
}

// stepReplica runs decide on one replica of a copy of the state and saves and sends
// its effects.
func (s *modelState) stepReplica(i int, decide func(r *Replicator, now time.Time, out *Effects)) *modelState {
	c := s.clone()
	c.nodes[i] = s.nodes[i].clone()
	var out Effects
	decide(c.nodes[i], c.now(), &out)
	disk := &c.disks[i]
	if out.HardState != nil {
		disk.HardState = *out.HardState
	}
	for _, e := range out.Entries {
		position := e.Index - disk.Snapshot.Index - 1
		disk.Entries = append(slices.Clone(disk.Entries[:position]), e)
	}
	c.messages = append(append(c.messages, out.Requests...), out.Sends...)
	if r := c.nodes[i]; r.role == Leader && c.leaders[r.hardState.Term] == "" {
		c.leaders[r.hardState.Term] = r.id
	}
	return c
}

// crashBeforeSave runs decide on one replica of a copy of the state, which sends its requests
// and is then restarted without having saved anything.
func (s *modelState) crashBeforeSave(i int, b modelBounds, decide func(r *Replicator, now time.Time, out *Effects)) *modelState {
	c := s.clone()
	r := s.nodes[i].clone()
	var out Effects
	decide(r, c.now(), &out)
	c.messages = append(c.messages, out.Requests...)
	if r.role == Leader && c.leaders[r.hardState.Term] == "" {
		c.leaders[r.hardState.Term] = r.id
	}
	return c.restart(i, b)
}

// successors returns all states that are one step away.
func (s *modelState) successors(b modelBounds) []*modelState {
	var list []*modelState
	step := func(c *modelState, i int, decide func(r *Replicator, now time.Time, out *Effects)) {
		list = append(list, c.stepReplica(i, decide))
		if c.restarts < b.restarts {
			list = append(list, c.crashBeforeSave(i, b, decide))
		}
	}
	for i := range s.nodes {
		if s.timeouts < b.timeouts && s.nodes[i].role != Leader {
			c := *s
			c.timeouts++
			step(&c, i, func(r *Replicator, now time.Time, out *Effects) { r.Tick(now, out) })
		}
		if s.restarts < b.restarts {
			list = append(list, s.restart(i, b))
		}
		if s.proposed < b.proposals && s.nodes[i].role == Leader {
			c := *s
			c.proposed++
			step(&c, i, func(r *Replicator, now time.Time, out *Effects) {
				_, _ = r.Propose(now, []byte("change"), out)
			})
		}
		if s.reads < b.reads && s.nodes[i].role == Leader {
			c := *s
			c.reads++
			list = append(list, c.stepReplica(i, func(r *Replicator, now time.Time, out *Effects) {
				_ = r.Read(now, uint64(c.reads), out)
			}))
		}
	}
	for m := range s.messages {
		message := s.messages[m]
		c := *s
		c.messages = slices.Delete(slices.Clone(s.messages), m, m+1)
		to := int(message.To[0] - '0')
		step(&c, to, func(r *Replicator, now time.Time, out *Effects) { r.Handle(now, &message, out) })
	}
	return list
}

func (s *modelState) restart(i int, b modelBounds) *modelState {
	c := s.clone()
	c.restarts++
	if b.losesVoteOnRestart {
		c.disks[i].HardState.Vote = ""
	}
	c.nodes[i] = New(c.now(), fmt.Sprint(i), fmt.Sprint(i), c.disks[i], DefaultTiming(), 1)
	return c
}

// violation describes the safety property that a state violates, if any.
func (s *modelState) violation() string {
	for i, r := range s.nodes {
		if r.role == Leader && s.leaders[r.hardState.Term] != r.id {
			return fmt.Sprintf("term %d has two leaders", r.hardState.Term)
		}
		for _, o := range s.nodes[i+1:] {
			for index := r.log.firstIndex; index <= min(r.commit, o.commit); index++ {
				if r.log.term(index) != o.log.term(index) {
					return fmt.Sprintf("entry %d is committed with two different terms", index)
				}
			}
		}
	}
	return ""
}

// key identifies a state, ignoring times and random numbers.
func (s *modelState) key() string {
	var b strings.Builder
	for i, r := range s.nodes {
		fmt.Fprintf(&b, "%v %d %s %d %v ", r.hardState, r.role, r.leader, r.commit, s.disks[i].HardState)
		for _, e := range r.log.entries {
			fmt.Fprintf(&b, "%d", e.Term)
		}
		if r.role == PreCandidate || r.role == Candidate {
			fmt.Fprintf(&b, " %v", slices.Sorted(maps.Keys(r.votes)))
		}
		if r.role == Leader {
			for _, id := range slices.Sorted(maps.Keys(r.progress)) {
				p := r.progress[id]
				fmt.Fprintf(&b, " %d/%d/%t/%t/%d", p.next, p.match, p.isProbing, p.isInFlight, p.transferRound)
			}
		}
		b.WriteByte(';')
	}
	messageKeys := make([]string, len(s.messages))
	for i, m := range s.messages {
		messageKeys[i] = fmt.Sprintf("%d%s%s %d %d %d %d %t %d %d", m.Kind, m.From, m.To, m.Term, m.Index, m.LogTerm, m.Commit, m.Accepted, len(m.Entries), m.Round)
	}
	sort.Strings(messageKeys)
	fmt.Fprintf(&b, "%v %d %d %d %d", messageKeys, s.timeouts, s.restarts, s.proposed, s.reads)
	return b.String()
}

// explore visits every state within the bounds and returns their number and the
// first violation.
func explore(b modelBounds) (states int, violation string) {
	seen := map[string]bool{}
	queue := []*modelState{newModel()}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		if v := s.violation(); v != "" {
			return len(seen), v
		}
		if s.depth >= b.depth {
			continue
		}
		for _, n := range s.successors(b) {
			if key := n.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), ""
}

func TestSafetyInEveryInterleaving(t *testing.T) {
	for name, b := range map[string]modelBounds{
		"two elections":              {timeouts: 2, depth: 11},
		"one election, one restart":  {timeouts: 1, restarts: 1, depth: 11},
		"two elections, one restart": {timeouts: 2, restarts: 1, depth: 9},
		"one election, one proposal": {timeouts: 1, proposals: 1, depth: 12},
		"proposal and heartbeats":    {timeouts: 1, proposals: 1, reads: 2, depth: 11},
		"late elections, heartbeats": {timeouts: 2, proposals: 1, reads: 1, depth: 9},
	} {
		t.Run(name, func(t *testing.T) {
			states, violation := explore(b)
			t.Logf("%d states", states)
			require.Empty(t, violation)
			assert.Greater(t, states, 1000)
		})
	}
}

// TestModelDetectsLostVote checks that the model reports two leaders in one term if a
// vote does not survive a restart.
func TestModelDetectsLostVote(t *testing.T) {
	states, violation := explore(modelBounds{timeouts: 2, restarts: 1, depth: 12, losesVoteOnRestart: true})
	t.Logf("violation found after %d states", states)
	assert.Equal(t, "term 2 has two leaders", violation)
}
