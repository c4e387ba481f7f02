package runner

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// upstream serves a Runner over HTTP; its tasks end when release is closed.
type upstream struct {
	*Runner
	server  *httptest.Server
	release chan struct{}
	now     time.Time
}

func newUpstream(t *testing.T, slots int) *upstream {
	t.Helper()
	u := &upstream{release: make(chan struct{}), now: time.Unix(1_767_268_800, 0)}
	u.Runner = New(Config{
		Name: "u", Slots: slots, Memory: time.Minute,
		Now: func() time.Time { return u.now },
		Run: func(ctx context.Context, task Task) ([]byte, error) {
			select {
			case <-u.release:
				return task.Payload, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	})
	u.server = httptest.NewServer(u.Handler())
	t.Cleanup(u.server.Close)
	return u
}

func (u *upstream) call(t *testing.T, method, path, epoch, body string) (int, string, http.Header) {
	t.Helper()
	req, err := http.NewRequest(method, u.server.URL+path, bytes.NewReader([]byte(body)))
	require.NoError(t, err)
	req.Header.Set(HeaderOwner, "range")
	req.Header.Set(HeaderEpoch, epoch)
	req.Header.Set(HeaderLease, "10s")
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res.StatusCode, string(answer), res.Header
}

func assertRefused(t *testing.T, status int, header http.Header) {
	t.Helper()
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Equal(t, "no", header.Get(HeaderRan))
}

func TestTasks(t *testing.T) {
	t.Run("tasks with the same id run once", func(t *testing.T) {
		u := newUpstream(t, 2)
		close(u.release)
		for range 3 {
			status, body, _ := u.call(t, http.MethodPost, "/v1/tasks/j.0", "1", `{"a":1}`)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, `{"a":1}`, body)
		}
		assert.Equal(t, uint64(1), u.Counts().Started)
	})
	t.Run("a full or leaving upstream refuses tasks", func(t *testing.T) {
		u := newUpstream(t, 1)
		go u.call(t, http.MethodPost, "/v1/tasks/j.0", "1", "1")
		require.Eventually(t, func() bool { return u.Counts().Started == 1 }, 5*time.Second, time.Millisecond)
		status, _, header := u.call(t, http.MethodPost, "/v1/tasks/j.1", "1", "1")
		assertRefused(t, status, header)
		close(u.release)
		require.NoError(t, u.Shutdown(context.Background()))
		status, _, header = u.call(t, http.MethodPost, "/v1/tasks/j.2", "1", "1")
		assertRefused(t, status, header)
	})
	t.Run("a fenced task never starts", func(t *testing.T) {
		u := newUpstream(t, 1)
		_, body, _ := u.call(t, http.MethodDelete, "/v1/tasks/j.0", "", "")
		assert.Contains(t, body, `"state":"fenced"`)
		status, _, header := u.call(t, http.MethodPost, "/v1/tasks/j.0", "1", "1")
		assertRefused(t, status, header)
		assert.Zero(t, u.Counts().Started)
	})
	t.Run("a stopped task is reported as failed", func(t *testing.T) {
		u := newUpstream(t, 1)
		go u.call(t, http.MethodPost, "/v1/tasks/j.0", "1", "1")
		require.Eventually(t, func() bool { return u.Counts().Started == 1 }, 5*time.Second, time.Millisecond)
		u.call(t, http.MethodDelete, "/v1/tasks/j.0?stop=true", "", "")
		require.Eventually(t, func() bool {
			_, body, _ := u.call(t, http.MethodGet, "/v1/tasks/j.0", "", "")
			return strings.Contains(body, `"state":"finished","status":500`)
		}, 5*time.Second, time.Millisecond)
	})
}

func TestFences(t *testing.T) {
	u := newUpstream(t, 4)
	close(u.release)
	u.call(t, http.MethodPost, "/v1/tasks/j.0", "5", "1")
	status, body, _ := u.call(t, http.MethodPut, "/v1/fences/range", "", `{"epoch":6}`)
	assert.Equal(t, http.StatusOK, status)
	assert.Contains(t, body, `"task-ids":["j.0"]`)
	status, _, header := u.call(t, http.MethodPost, "/v1/tasks/j.1", "5", "1")
	assertRefused(t, status, header)
	assert.Equal(t, "6", header.Get(HeaderEpoch))
	status, _, _ = u.call(t, http.MethodPost, "/v1/tasks/j.1", "6", "1")
	assert.Equal(t, http.StatusOK, status)
	status, body, _ = u.call(t, http.MethodPut, "/v1/fences/range", "", `{"epoch":4}`)
	assert.Equal(t, http.StatusConflict, status)
	assert.Contains(t, body, `"epoch":6`)
}

// TestEpochsOutOfRange guards against an upstream that refuses all later owners of a range.
func TestEpochsOutOfRange(t *testing.T) {
	u := newUpstream(t, 4)
	close(u.release)
	for _, epoch := range []string{"9223372036854775807", "9223372036854775808", "1e400"} {
		status, body, _ := u.call(t, http.MethodPut, "/v1/fences/range", "", `{"epoch":`+epoch+`}`)
		assert.Equal(t, http.StatusBadRequest, status, body)
		status, _, header := u.call(t, http.MethodPost, "/v1/tasks/j.0", epoch, "1")
		assertRefused(t, status, header)
	}
	status, _, _ := u.call(t, http.MethodPost, "/v1/tasks/j.0", "5", "1")
	assert.Equal(t, http.StatusOK, status)
}

func TestExpiredTasksAreForgotten(t *testing.T) {
	u := newUpstream(t, 4)
	close(u.release)
	u.call(t, http.MethodPost, "/v1/tasks/j.0", "1", "1")
	first := u.memorySince()
	u.now = u.now.Add(2 * time.Minute)
	u.call(t, http.MethodPost, "/v1/tasks/j.1", "1", "1")
	status, _, _ := u.call(t, http.MethodGet, "/v1/tasks/j.0", "", "")
	assert.Equal(t, http.StatusNotFound, status)
	assert.False(t, u.memorySince().Before(first))
	_, body, _ := u.call(t, http.MethodPut, "/v1/fences/range", "", `{"epoch":9}`)
	assert.Contains(t, body, `"task-ids":["j.1"]`)
}
