package sender

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
)

// fakeUpstream answers requests with one handler per method and counts the requests.
type fakeUpstream struct {
	*httptest.Server
	posts   atomic.Int64
	deletes atomic.Int64
}

func newFakeUpstream(t *testing.T, post, get, del http.HandlerFunc) *fakeUpstream {
	t.Helper()
	u := &fakeUpstream{}
	u.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodPost:
			u.posts.Add(1)
			post(w, r)
		case http.MethodDelete:
			u.deletes.Add(1)
			del(w, r)
		default:
			get(w, r)
		}
	}))
	t.Cleanup(u.Close)
	return u
}

func (u *fakeUpstream) address() netip.AddrPort {
	return u.Listener.Addr().(*net.TCPAddr).AddrPort()
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func refuse(epoch string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Bronzedrift-Ran", "no")
		if epoch != "" {
			w.Header().Set("Bronzedrift-Epoch", epoch)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// closeConnection closes the connection without a response or, if status is not zero, in
// the middle of one.
func closeConnection(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		if status != 0 {
			_, _ = fmt.Fprintf(buffer, "HTTP/1.1 %d OK\r\nContent-Length: 100\r\n\r\n{\"half\":", status)
			_ = buffer.Flush()
		}
		_ = conn.Close()
	}
}

// neverAnswer reads a request and sends no response.
func neverAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func start(u *fakeUpstream) *dispatcher.Start {
	return &dispatcher.Start{
		JobID: "j", Upstream: "u", Address: u.address(), Fencing: true, Range: "r", Epoch: 7,
		Timeout: 5 * time.Second, Payload: []byte("{}"),
	}
}

func run(st *dispatcher.Start) *dispatcher.TaskEnd {
	s := New(Config{MaxIdleConnections: 2, MaxResultBytes: 1 << 20})
	defer s.Close()
	return s.Run(context.Background(), st)
}

func TestRun(t *testing.T) {
	unknown := answer(http.StatusNotFound, `{"state":"unknown"}`)
	fenced := answer(http.StatusOK, `{"state":"fenced"}`)
	finished := answer(http.StatusOK, `{"state":"finished","status":200,"result":{"whole":true}}`)
	for name, c := range map[string]struct {
		post, get, del http.HandlerFunc
		noFence        bool
		since          time.Time
		want           dispatcher.EndKind
		payload        string
	}{
		"answered":                               {post: answer(200, `{"a":1}`), want: dispatcher.EndedComplete, payload: `{"a":1}`},
		"failed":                                 {post: answer(500, "no"), want: dispatcher.EndedFailed},
		"503 without the header is a failure":    {post: answer(503, "no"), want: dispatcher.EndedFailed},
		"refused":                                {post: refuse(""), want: dispatcher.EndedNotStarted},
		"refused for a higher epoch":             {post: refuse("9"), want: dispatcher.EndedSuperseded},
		"closed before the start":                {post: closeConnection(0), get: unknown, del: fenced, want: dispatcher.EndedNotStarted},
		"closed after the run":                   {post: closeConnection(0), get: finished, want: dispatcher.EndedComplete, payload: `{"whole":true}`},
		"closed within the response":             {post: closeConnection(200), get: finished, want: dispatcher.EndedComplete, payload: `{"whole":true}`},
		"closed within the response, no fencing": {post: closeConnection(200), noFence: true, want: dispatcher.EndedFailed},
		"closed, no fencing":                     {post: closeConnection(0), noFence: true, want: dispatcher.EndedUnknown},
		"no response":                            {post: neverAnswer, get: unknown, del: fenced, want: dispatcher.EndedNotStarted},
		"no response after the run":              {post: neverAnswer, get: finished, want: dispatcher.EndedComplete, payload: `{"whole":true}`},
		"the upstream restarted": {
			post: closeConnection(0), get: answer(http.StatusNotFound, `{"state":"unknown","started-at":"2026-01-02T00:00:00Z"}`),
			since: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), want: dispatcher.EndedUnknown,
		},
		"result is not JSON": {post: answer(200, "half"), get: answer(200, `{"state":"finished","status":500}`), want: dispatcher.EndedFailed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newFakeUpstream(t, c.post, c.get, c.del)
			st := start(u)
			st.Fencing, st.MemorySince = !c.noFence, c.since
			end := run(st)
			assert.Equal(t, c.want, end.Kind)
			assert.Equal(t, c.payload, string(end.Payload))
			assert.Equal(t, int64(1), u.posts.Load(), "a start is sent once")
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		t.Parallel()
		u := newFakeUpstream(t, neverAnswer, neverAnswer, neverAnswer)
		st := start(u)
		u.Close()
		assert.Equal(t, dispatcher.EndedNotStarted, run(st).Kind)
	})
}

// TestCrashIsToldFromSilence guards against a task that is blamed for an upstream that is only
// out of reach, and against one that crashes its upstreams unnoticed.
func TestCrashIsToldFromSilence(t *testing.T) {
	announcedSince := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	t.Run("the process has ended", func(t *testing.T) {
		t.Parallel()
		var u *fakeUpstream
		u = newFakeUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			_ = u.Listener.Close()
			closeConnection(0)(w, r)
		}, nil, nil)
		end := run(start(u))
		assert.Equal(t, dispatcher.EndedUnknown, end.Kind)
		assert.True(t, end.HasCrashed)
	})
	t.Run("it has restarted", func(t *testing.T) {
		t.Parallel()
		u := newFakeUpstream(t, closeConnection(0), answer(http.StatusNotFound, `{"state":"unknown","started-at":"2026-01-02T00:00:00Z"}`), nil)
		st := start(u)
		st.MemorySince = announcedSince
		assert.True(t, run(st).HasCrashed)
	})
	t.Run("it is silent", func(t *testing.T) {
		t.Parallel()
		u := newFakeUpstream(t, closeConnection(0), neverAnswer, neverAnswer)
		end := run(start(u))
		assert.Equal(t, dispatcher.EndedUnknown, end.Kind)
		assert.False(t, end.HasCrashed)
	})
}

func TestFence(t *testing.T) {
	s := New(Config{MaxResultBytes: 1 << 20})
	fenceRange := func(u *fakeUpstream) *dispatcher.FenceRange {
		return &dispatcher.FenceRange{Range: "r", Epoch: 7, Upstream: "u", Address: u.address()}
	}
	t.Run("taken", func(t *testing.T) {
		u := newFakeUpstream(t, nil, answer(200, `{"epoch":7,"task-ids":["j.0"],"since":"2026-01-01T00:00:00Z"}`), nil)
		end := s.Fence(context.Background(), fenceRange(u))
		assert.True(t, end.OK)
		assert.Equal(t, []string{"j.0"}, end.Started)
	})
	t.Run("a higher epoch is in force", func(t *testing.T) {
		u := newFakeUpstream(t, nil, answer(http.StatusConflict, `{"epoch":9}`), nil)
		end := s.Fence(context.Background(), fenceRange(u))
		assert.False(t, end.OK)
		assert.Equal(t, int64(9), end.HigherEpoch)
	})
	t.Run("no answer", func(t *testing.T) {
		u := newFakeUpstream(t, nil, closeConnection(0), nil)
		assert.False(t, s.Fence(context.Background(), fenceRange(u)).OK)
	})
}

// TestFenceOutOfRange guards against a range that is claimed again and again, since one upstream names an
// epoch above which there is none, and against restarts that no upstream can have had.
func TestFenceOutOfRange(t *testing.T) {
	s := New(Config{MaxResultBytes: 1 << 20})
	for name, c := range map[string]struct {
		status int
		body   string
	}{
		"highest epoch":         {http.StatusConflict, `{"epoch":9223372036854775807}`},
		"epoch beyond range":    {http.StatusConflict, `{"epoch":1e400}`},
		"memory of the future":  {http.StatusOK, `{"epoch":7,"since":"9999-01-01T00:00:00Z"}`},
		"started in the future": {http.StatusOK, `{"epoch":7,"started-at":"9999-01-01T00:00:00Z"}`},
		"started before 1970":   {http.StatusOK, `{"epoch":7,"started-at":"0001-01-02T00:00:00Z"}`},
		"very deep":             {http.StatusOK, `{"epoch":7,"task-ids":` + strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001) + `}`},
	} {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(t, nil, answer(c.status, c.body), nil)
			end := s.Fence(context.Background(), &dispatcher.FenceRange{Range: "r", Epoch: 7, Upstream: "u", Address: u.address()})
			assert.False(t, end.OK)
			assert.Zero(t, end.HigherEpoch)
		})
	}
	t.Run("refused start", func(t *testing.T) {
		u := newFakeUpstream(t, refuse("9223372036854775807"), nil, nil)
		assert.Equal(t, dispatcher.EndedNotStarted, run(start(u)).Kind)
	})
}

// TestTaskStateOutOfRange guards against a repeatable task that starts elsewhere while it runs: an
// answer with a start time that can't be true is no evidence of a restart.
func TestTaskStateOutOfRange(t *testing.T) {
	answers := make(chan http.HandlerFunc, 2)
	answers <- answer(http.StatusNotFound, `{"started-at":"9999-01-01T00:00:00Z"}`)
	answers <- answer(http.StatusOK, `{"state":"finished","status":200,"result":1,"started-at":"2026-01-01T00:00:00Z"}`)
	u := newFakeUpstream(t, closeConnection(0), func(w http.ResponseWriter, r *http.Request) { (<-answers)(w, r) }, nil)
	st := start(u)
	st.MemorySince = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	assert.Equal(t, dispatcher.EndedComplete, run(st).Kind)
}
