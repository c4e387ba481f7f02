package acceptor

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testBodyLimit = 64 << 10

// fixture is a server of one address with few places and little room.
type fixture struct {
	acceptor *Acceptor
	address  string
	closed   sync.Map
}

func testLimits() Limits {
	l := DefaultLimits()
	l.Connections, l.BodyBytes, l.StallTimeout, l.WaitTimeout = minConnections, 2*testBodyLimit, 100*time.Millisecond, 5*time.Second
	return l
}

func newFixture(t *testing.T, limits Limits, handler http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{}
	f.acceptor = New(Config{Limits: limits, Now: time.Now, Closed: func(_ string, kind Kind, count int) {
		n, _ := f.closed.LoadOrStore(kind, new(atomic.Int64))
		n.(*atomic.Int64).Add(int64(count))
	}})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = socket.Addr().String()
	server := f.acceptor.NewServer(socket, Address{
		Name: "test", IsMain: true, Handler: handler, MaxBody: func(*http.Request) int64 { return testBodyLimit },
		Refuse: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	})
	done := make(chan error, 1)
	go func() { done <- server.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
		_ = server.Close()
		require.NoError(t, <-done)
	})
	return f
}

// echoSize answers with the number of bytes of the body.
func echoSize(w http.ResponseWriter, r *http.Request) {
	text, err := ReadBody(w, r, testBodyLimit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		_, _ = fmt.Fprint(w, len(text))
	}
}

func (f *fixture) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// begin sends the head of a request and a part of its body.
func (f *fixture) begin(t *testing.T, declared, sent int) net.Conn {
	t.Helper()
	c := f.dial(t)
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s", declared, strings.Repeat("x", sent))
	require.NoError(t, err)
	return c
}

func readAnswer(c net.Conn) (status int, body string, err error) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

func requireAnswer(t *testing.T, c net.Conn, status int, body string) {
	t.Helper()
	gotStatus, gotBody, err := readAnswer(c)
	require.NoError(t, err)
	assert.Equal(t, status, gotStatus)
	if body != "" {
		assert.Equal(t, body, gotBody)
	}
}

// TestBodiesAtTheirLimits guards against bodies that are cut short, read twice or taken beyond their limit.
func TestBodiesAtTheirLimits(t *testing.T) {
	f := newFixture(t, testLimits(), echoSize)
	for _, size := range []int{0, 1, SmallBodyBytes - 1, SmallBodyBytes, SmallBodyBytes + 1, 3 * SmallBodyBytes, testBodyLimit - 1, testBodyLimit, testBodyLimit + 1} {
		for name, body := range map[string]io.Reader{
			"declared": strings.NewReader(strings.Repeat("x", size)),
			"chunked":  io.MultiReader(strings.NewReader(strings.Repeat("x", size))),
		} {
			response, err := http.Post("http://"+f.address, "text/plain", body)
			require.NoError(t, err, "%s, %d bytes", name, size)
			text, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			if size > testBodyLimit {
				assert.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode, "%s, %d bytes", name, size)
				continue
			}
			assert.Equal(t, fmt.Sprint(size), string(text), name)
		}
	}
	assert.Zero(t, f.acceptor.reserved.Load(), "room is held after the requests")
}

// TestHeadsAtTheirLimit guards against heads beyond their limit and against a refusal that does not arrive.
func TestHeadsAtTheirLimit(t *testing.T) {
	f := newFixture(t, testLimits(), echoSize)
	for size, status := range map[int]int{DefaultHeadBytes - 100: http.StatusOK, DefaultHeadBytes + 2*readAhead: http.StatusRequestHeaderFieldsTooLarge} {
		c := f.dial(t)
		_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: test\r\nX-Field: %s\r\n\r\n", strings.Repeat("x", size))
		require.NoError(t, err)
		requireAnswer(t, c, status, "")
	}
}

// TestBodiesWaitForRoom guards against a client that is closed, or not answered, since others hold the room
// for bodies and stand still: those go, it waits.
func TestBodiesWaitForRoom(t *testing.T) {
	f := newFixture(t, testLimits(), echoSize)
	standing := []net.Conn{f.begin(t, testBodyLimit, testBodyLimit-1), f.begin(t, testBodyLimit, SmallBodyBytes+1)}
	require.Eventually(t, func() bool { return f.acceptor.reserved.Load() == 2*testBodyLimit }, 5*time.Second, time.Millisecond)
	small := f.begin(t, 5, 5)
	requireAnswer(t, small, http.StatusOK, "5")
	requireAnswer(t, f.begin(t, testBodyLimit, testBodyLimit), http.StatusOK, fmt.Sprint(testBodyLimit))
	for _, c := range standing {
		_, _, err := readAnswer(c)
		require.Error(t, err, "a client that stands still has kept the room")
	}
	require.Eventually(t, func() bool { return f.acceptor.reserved.Load() == 0 }, 5*time.Second, time.Millisecond)
}

// TestProgressIsNotClosed guards against a client that goes on sending and is closed since others wait.
func TestProgressIsNotClosed(t *testing.T) {
	limits := testLimits()
	limits.BodyBytes = testBodyLimit
	f := newFixture(t, limits, echoSize)
	slow := f.begin(t, testBodyLimit, SmallBodyBytes+1)
	require.Eventually(t, func() bool { return f.acceptor.reserved.Load() == testBodyLimit }, 5*time.Second, time.Millisecond)
	next := f.begin(t, testBodyLimit, testBodyLimit)
	rest := testBodyLimit - SmallBodyBytes - 1
	for range 10 {
		time.Sleep(limits.StallTimeout / 3)
		_, err := slow.Write(bytes.Repeat([]byte("x"), rest/10))
		require.NoError(t, err)
	}
	_, err := slow.Write(bytes.Repeat([]byte("x"), rest-rest/10*10))
	require.NoError(t, err)
	requireAnswer(t, slow, http.StatusOK, fmt.Sprint(testBodyLimit))
	requireAnswer(t, next, http.StatusOK, fmt.Sprint(testBodyLimit))
}

// TestNoRoomIsRefused guards against bodies that wait without an end while all others go on.
func TestNoRoomIsRefused(t *testing.T) {
	limits := testLimits()
	limits.BodyBytes, limits.WaitTimeout = testBodyLimit, 50*time.Millisecond
	handling, proceed := make(chan struct{}), make(chan struct{})
	f := newFixture(t, limits, func(w http.ResponseWriter, r *http.Request) {
		close(handling)
		<-proceed
		echoSize(w, r)
	})
	first := f.begin(t, testBodyLimit, testBodyLimit)
	<-handling
	requireAnswer(t, f.begin(t, testBodyLimit, testBodyLimit), http.StatusServiceUnavailable, "")
	close(proceed)
	requireAnswer(t, first, http.StatusOK, fmt.Sprint(testBodyLimit))
}

// TestPlacesOfSilentConnections guards against connections without requests that shut others out, and
// against the loss of one in use.
func TestPlacesOfSilentConnections(t *testing.T) {
	f := newFixture(t, testLimits(), echoSize)
	for range 3 * minConnections {
		f.dial(t)
	}
	requireAnswer(t, f.begin(t, 5, 5), http.StatusOK, "5")
	n, ok := f.closed.Load(Inactive)
	require.True(t, ok, "the closings are not reported")
	assert.Positive(t, n.(*atomic.Int64).Load())
}

// TestTimeLimitsInCalm guards against requests that never become complete, against an answer that waits for
// the rest of a body, and against a loss of these closings from the log.
func TestTimeLimitsInCalm(t *testing.T) {
	limits := testLimits()
	limits.HeadTimeout, limits.BodyTimeout = 100*time.Millisecond, 100*time.Millisecond
	f := newFixture(t, limits, echoSize)
	head := f.dial(t)
	_, err := fmt.Fprint(head, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	body := f.begin(t, 100, 1)
	_ = body.SetDeadline(time.Now().Add(5 * time.Second))
	_, _, err = readAnswer(head)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	requireAnswer(t, body, http.StatusBadRequest, "")
	for _, kind := range []Kind{HeadTimedOut, BodyTimedOut} {
		require.Eventually(t, func() bool { _, ok := f.closed.Load(kind); return ok }, 5*time.Second, time.Millisecond, kind)
	}
}

// TestStandingClients guards against the closing of a request that is complete, has just begun, or waits for
// this process.
func TestStandingClients(t *testing.T) {
	now := time.Now()
	l := DefaultLimits()
	a := New(Config{Limits: l, Now: func() time.Time { return now }})
	for name, test := range map[string]struct {
		phase     phase
		age, quit time.Duration
		shortage  time.Duration
		received  int64
		closes    bool
	}{
		"a complete request":              {handling, time.Minute, time.Minute, time.Minute, 0, false},
		"a body that waits for room":      {waiting, time.Minute, time.Minute, time.Minute, 0, false},
		"a body that has just begun":      {readingBody, l.StallTimeout / 2, l.StallTimeout / 2, time.Minute, 0, false},
		"a body that has stopped":         {readingBody, time.Minute, l.StallTimeout, time.Minute, 1 << 30, true},
		"a stop before the shortage":      {readingBody, time.Minute, time.Minute, l.StallTimeout / 2, 1 << 30, false},
		"a body that goes on":             {readingBody, 10 * time.Second, time.Millisecond, time.Minute, 10 * l.BodyRate, false},
		"a body that goes on too slowly":  {readingBody, 10 * time.Second, time.Millisecond, time.Minute, 8 * l.BodyRate, true},
		"a connection between requests":   {idle, time.Minute, time.Minute, time.Minute, 0, false},
		"a head that has begun and stops": {idle, time.Minute, time.Minute, time.Minute, 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := &conn{server: &Server{acceptor: a}}
			c.setPhase(test.phase)
			c.since.Store(a.elapsed(now.Add(-test.age)))
			c.progressAt.Store(a.elapsed(now.Add(-test.quit)))
			c.received.Store(test.received)
			_, closes := c.standing(now, now.Add(-test.shortage), &l)
			assert.Equal(t, test.closes, closes)
		})
	}
}

// TestLateLooks guards against clients that are closed for the time in which this process stood still.
func TestLateLooks(t *testing.T) {
	a := New(Config{Limits: DefaultLimits(), Now: time.Now})
	now := time.Now()
	begun := a.observeShortage(now)
	assert.Equal(t, now, begun)
	assert.Equal(t, begun, a.observeShortage(now.Add(retryInterval)))
	resumed := now.Add(retryInterval + 2*maxLookGap)
	assert.Equal(t, resumed, a.observeShortage(resumed))
}

// TestLimitsWithinProcess guards against limits that leave the process too little, or no room for the largest
// body.
func TestLimitsWithinProcess(t *testing.T) {
	const megabyte = 1 << 20
	for name, test := range map[string]struct {
		descriptors int
		memory      int64
		connections int
		bodyBytes   int64
	}{
		"the descriptors decide":    {3900, 284 * megabyte, 1950, 284 * megabyte / 5},
		"the memory decides":        {100_000, 144 * megabyte, 1024, 144 * megabyte / 5},
		"no limit of the memory":    {1000, 0, 500, 128 * megabyte},
		"nothing is limited":        {0, 0, 16_384, 128 * megabyte},
		"less than the largest one": {1000, 50 * megabyte, 355, 16 * megabyte},
	} {
		t.Run(name, func(t *testing.T) {
			l := DefaultLimits().Within(test.descriptors, test.memory, 16*megabyte)
			assert.Equal(t, test.connections, l.Connections)
			assert.Equal(t, test.bodyBytes, l.BodyBytes)
		})
	}
}

// TestUnidentifiedPeers guards against connections that never identify themselves, and against the loss of
// one that has.
func TestUnidentifiedPeers(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := NewIdentifyingListener(socket, 1, 100*time.Millisecond)
	defer func() { _ = l.Close() }()
	connect := func() (client, server net.Conn) {
		client, err := net.Dial("tcp", socket.Addr().String())
		require.NoError(t, err)
		server, err = l.Accept()
		require.NoError(t, err)
		return client, server
	}
	known, server := connect()
	server.(*IdentifyingConn).Identified()
	unknown, _ := connect()
	next, _ := connect()
	_ = unknown.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = unknown.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "it keeps its place")
	_, err = server.Write([]byte("x"))
	require.NoError(t, err)
	_, err = known.Read(make([]byte, 1))
	require.NoError(t, err, "closed though it is known")
	require.NoError(t, next.Close())
}
