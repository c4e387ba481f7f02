package acceptor

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// requestCost returns the allocations and the bytes of a request on an open connection, those of the client,
// which are the same for all servers, included.
func requestCost(t testing.TB, address string, body int) (allocations, bytesAllocated float64) {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	request := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s", body, bytes.Repeat([]byte("x"), body))
	reader := bufio.NewReader(c)
	answer := make([]byte, 4096)
	exchange := func() {
		_, err := c.Write(request)
		require.NoError(t, err)
		n, err := reader.Read(answer)
		require.NoError(t, err)
		require.Contains(t, string(answer[:n]), "200 OK")
	}
	const rounds = 500
	for range rounds {
		exchange()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range rounds {
		exchange()
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / rounds, float64(after.TotalAlloc-before.TotalAlloc) / rounds
}

// TestCostOfARequest guards against limits that cost each ordinary request more than they are worth: a request
// takes at most three allocations and 256 bytes beside its body more than with a plain server that reads the
// body up to its limit, and a large body less.
func TestCostOfARequest(t *testing.T) {
	read := func(w http.ResponseWriter, r *http.Request) { _, _ = ReadBody(w, r, testBodyLimit) }
	f := newFixture(t, DefaultLimits(), read)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	plain := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(http.MaxBytesReader(w, r.Body, testBodyLimit))
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = plain.Serve(socket) }()
	defer func() { _ = plain.Close() }()
	for _, body := range []int{0, 400, 4000, 60_000} {
		allocations, size := requestCost(t, f.address, body)
		plainAllocations, plainSize := requestCost(t, socket.Addr().String(), body)
		t.Logf("%d bytes: %.1f allocations, %.0f bytes; plain server: %.1f, %.0f", body, allocations, size, plainAllocations, plainSize)
		assert.LessOrEqual(t, allocations, plainAllocations+3, "%d bytes", body)
		assert.LessOrEqual(t, size, plainSize+256, "%d bytes", body)
	}
}
