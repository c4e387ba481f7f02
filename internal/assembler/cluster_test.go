package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/scheduler"
	"bronzedrift.example/bronzedrift/pkg/caller"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"))
}

func newCluster(t *testing.T, team dispatcher.Team) *Cluster {
	t.Helper()
	limits := loader.Defaults().Limits
	limits.ClockSkew = 0
	team.Name = "team"
	config := Config{
		Entries: []int{2, 1}, Team: team, Service: "booking", Policy: scheduler.DefaultPolicy(), Limits: limits, Log: zerolog.Nop(),
	}
	for i := range 4 {
		config.Upstreams = append(config.Upstreams, UpstreamConfig{
			Name: fmt.Sprint("u", i), DataCentre: DataCentreName(i % 2), Slots: 4, Slowdown: 1,
		})
	}
	c, err := New(context.Background(), config)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func testJob(tasks int, run string) caller.Job {
	j := caller.Job{Team: "team", Service: "booking", Timeout: 10 * time.Second}
	for i := range tasks {
		j.Tasks = append(j.Tasks, caller.Task{Payload: json.RawMessage(fmt.Sprintf(`{"run-time":%q,"n":%d}`, run, i))})
	}
	return j
}

func submit(t *testing.T, entry netip.AddrPort, j caller.Job) *caller.Answer {
	t.Helper()
	c := caller.New(caller.Config{Entries: []netip.AddrPort{entry}})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	a, err := c.Submit(ctx, j)
	require.NoError(t, err)
	return a
}

func assertComplete(t *testing.T, a *caller.Answer, tasks int) {
	t.Helper()
	require.Equal(t, "complete", a.Outcome, a.Message)
	require.Len(t, a.Results, tasks)
	for i, r := range a.Results {
		assert.Contains(t, string(r), fmt.Sprintf(`"n":%d`, i))
	}
}

func (c *Cluster) startedTasks() uint64 {
	var total uint64
	for _, u := range c.Upstreams {
		total += u.Counts().Started
	}
	return total
}

func TestCluster(t *testing.T) {
	c := newCluster(t, dispatcher.Team{})
	entries := c.CallerAddresses()
	t.Run("every entry returns all results in order", func(t *testing.T) {
		for _, e := range entries {
			assertComplete(t, submit(t, e, testJob(30, "5ms")), 30)
		}
	})
	t.Run("a resubmission at any entry joins the job or gets its stored answer", func(t *testing.T) {
		before := c.startedTasks()
		j := testJob(3, "100ms")
		j.ID, j.SubmittedAt = "again", time.Now()
		var wg sync.WaitGroup
		for _, e := range entries {
			wg.Go(func() { assertComplete(t, submit(t, e, j), 3) })
		}
		wg.Wait()
		assertComplete(t, submit(t, entries[0], j), 3)
		assert.Equal(t, before+3, c.startedTasks())
		j.Tasks = j.Tasks[:2]
		a := submit(t, entries[1], j)
		assert.Equal(t, http.StatusConflict, a.Status)
	})
	t.Run("a task larger than every upstream is refused", func(t *testing.T) {
		j := testJob(1, "1ms")
		j.Tasks[0].Slots = 100
		a := submit(t, entries[0], j)
		assert.Equal(t, http.StatusUnprocessableEntity, a.Status)
		assert.Equal(t, "not-run", a.Ran)
	})
	t.Run("cancel", func(t *testing.T) {
		j := testJob(60, "2s")
		j.ID, j.SubmittedAt = "to-cancel", time.Now()
		answered := make(chan *caller.Answer, 1)
		go func() { answered <- submit(t, entries[0], j) }()
		client := caller.New(caller.Config{Entries: entries})
		defer client.Close()
		require.Eventually(t, func() bool {
			a, err := client.Lookup(context.Background(), j.ID)
			return err == nil && a.Outcome == "running" && a.Ran == "unknown"
		}, 10*time.Second, 10*time.Millisecond)
		a, err := client.Cancel(context.Background(), j.ID)
		require.NoError(t, err)
		assert.Equal(t, "cancelled", a.Reason)
		assert.Equal(t, 499, (<-answered).Status)
	})
	t.Run("an upstream reported as down gets no new tasks", func(t *testing.T) {
		u := c.Upstreams[0]
		putVerdict(t, c, "/v1/verdicts/upstreams/"+u.Config.Name, `{"state":"down","sequence":1}`)
		time.Sleep(200 * time.Millisecond)
		before := u.Counts().Started
		assertComplete(t, submit(t, entries[2], testJob(40, "5ms")), 40)
		assert.Equal(t, before, u.Counts().Started)
		putVerdict(t, c, "/v1/verdicts/upstreams/"+u.Config.Name, `{"state":"up","sequence":2}`)
	})
	t.Run("an entry restarts while jobs are submitted", func(t *testing.T) {
		var wg sync.WaitGroup
		client := caller.New(caller.Config{Entries: entries})
		defer client.Close()
		for range 60 {
			wg.Go(func() {
				a, err := client.Submit(context.Background(), testJob(4, "40ms"))
				if assert.NoError(t, err) {
					assertComplete(t, a, 4)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		require.NoError(t, c.StopDaemon(0))
		require.NoError(t, c.StartDaemon(0))
		wg.Wait()
	})
}

func TestQuota(t *testing.T) {
	c := newCluster(t, dispatcher.Team{TasksInFlight: 4})
	var wg sync.WaitGroup
	var mu sync.Mutex
	byStatus := map[int]int{}
	for range 12 {
		wg.Go(func() {
			a := submit(t, c.CallerAddresses()[0], testJob(1, "500ms"))
			mu.Lock()
			defer mu.Unlock()
			byStatus[a.Status]++
			if a.Status == http.StatusTooManyRequests {
				assert.Equal(t, "not-run", a.Ran)
				assert.GreaterOrEqual(t, a.RetryAfter, time.Second)
			}
		})
	}
	wg.Wait()
	assert.LessOrEqual(t, byStatus[http.StatusOK], 4)
	assert.Positive(t, byStatus[http.StatusOK])
	assert.Equal(t, uint64(byStatus[http.StatusOK]), c.startedTasks(), "refused jobs did not run")
}

func putVerdict(t *testing.T, c *Cluster, path, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+c.CallerAddresses()[0].String()+path, strings.NewReader(body))
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	_ = res.Body.Close()
	require.Equal(t, http.StatusNoContent, res.StatusCode)
}

// BenchmarkEntry measures the latency that an entry adds to a direct call of an
// upstream, and how many tasks per second it starts.
func BenchmarkEntry(b *testing.B) {
	limits := loader.Defaults().Limits
	limits.ClockSkew = 0
	c, err := New(context.Background(), Config{
		Entries: []int{1}, Team: dispatcher.Team{Name: "team"}, Service: "booking", Policy: scheduler.DefaultPolicy(),
		Limits: limits, Log: zerolog.New(os.Stderr).Level(zerolog.Disabled),
		Upstreams: []UpstreamConfig{{Name: "u", DataCentre: "dc-a", Slots: 64, Slowdown: 1}},
	})
	require.NoError(b, err)
	defer c.Close()
	client := caller.New(caller.Config{Entries: c.CallerAddresses()})
	defer client.Close()
	b.Run("one-task", func(b *testing.B) {
		for b.Loop() {
			if a, err := client.Submit(context.Background(), testJob(1, "0s")); err != nil || !a.IsComplete() {
				b.Fatal(a, err)
			}
		}
	})
	b.Run("direct", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			url := fmt.Sprintf("http://%s/v1/tasks/direct.%d-%d", c.Upstreams[0].Address, b.N, i)
			req, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"run-time":"0s"}`))
			req.Header.Set("Bronzedrift-Epoch", "1")
			req.Header.Set("Bronzedrift-Lease", "1s")
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				b.Fatal(err)
			}
			_ = res.Body.Close()
		}
	})
	b.Run("590-tasks", func(b *testing.B) {
		for b.Loop() {
			if a, err := client.Submit(context.Background(), testJob(590, "0s")); err != nil || !a.IsComplete() {
				b.Fatal(a, err)
			}
		}
		b.ReportMetric(590*float64(b.N)/b.Elapsed().Seconds(), "starts/s")
	})
}

// BenchmarkQuota submits jobs at three times a team's quota of starts, spread
// over all entries. It reports the rate of started tasks as a share of the quota,
// measured after the initial burst.
func BenchmarkQuota(b *testing.B) {
	const quota = 200
	limits := loader.Defaults().Limits
	limits.ClockSkew = 0
	c, err := New(context.Background(), Config{
		Entries: []int{2, 2, 1}, Team: dispatcher.Team{Name: "team", StartsPerSecond: quota}, Service: "booking",
		Policy: scheduler.DefaultPolicy(), Limits: limits, Log: zerolog.Nop(),
		Upstreams: []UpstreamConfig{
			{Name: "u", DataCentre: "dc-a", Slots: 64, Slowdown: 1},
			{Name: "v", DataCentre: "dc-b", Slots: 64, Slowdown: 1},
			{Name: "w", DataCentre: "dc-c", Slots: 64, Slowdown: 1},
		},
	})
	require.NoError(b, err)
	defer c.Close()
	client := caller.New(caller.Config{Entries: c.CallerAddresses()})
	defer client.Close()
	offer := func(d time.Duration) {
		var wg sync.WaitGroup
		for range int(3 * quota * d.Seconds()) {
			wg.Go(func() { _, _ = client.Submit(context.Background(), testJob(1, "1ms")) })
			time.Sleep(time.Second / (3 * quota))
		}
		wg.Wait()
	}
	for b.Loop() {
		offer(3 * time.Second)
		before, began := c.startedTasks(), time.Now()
		offer(6 * time.Second)
		b.ReportMetric(float64(c.startedTasks()-before)/time.Since(began).Seconds()/quota, "of-quota")
	}
}
