//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

func isReady(n *node) bool {
	q, err := http.NewRequest(http.MethodGet, "http://"+netip.AddrPortFrom(n.ip, readinessPort).String()+platformNames["ready"], nil)
	if err != nil {
		return false
	}
	answer, err := (&http.Client{Timeout: time.Second}).Do(q)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// configuration returns a valid configuration with one route.
func configuration(version int) string {
	return fmt.Sprintf(platformNames["configuration"], version, hostName, routePrefix, serviceName, serviceName)
}

// sendConfiguration sends a configuration as the operator does: to one daemon after the other, with
// growing pauses, until it is acknowledged or the time is over.
func (w *world) sendConfiguration(text string, limit time.Duration) bool {
	end, pause := time.Now().Add(limit), 50*time.Millisecond
	for i := rand.IntN(len(w.states)); time.Now().Before(end); i++ {
		target := w.states[i%len(w.states)]
		status, answer, err := call(w.ctx, http.MethodPut, "http://"+target.control().String()+platformNames["config"], []byte(text), "", time.Second)
		w.record.add("operator", "PUT config %.14s to %s: %s", text, target.name, outcome(status, answer, err))
		if err == nil && status == http.StatusOK {
			return true
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return false
}

func outcome(status int, answer []byte, err error) string {
	if err != nil {
		return "no response: " + strings.ReplaceAll(err.Error(), "\n", " ")
	}
	return fmt.Sprintf("%d %.90s", status, answer)
}

// submit sends a job and waits for its answer.
func (w *world) submit(n *node, id, body string, deadline time.Duration) {
	w.record.add("client", "POST %s to %s: %s", id, n.name, body)
	status, answer, err := call(w.ctx, http.MethodPost, "http://"+n.frontend().String()+routePrefix+id, []byte(body), hostName, deadline)
	w.record.add("client", "POST %s to %s: %s", id, n.name, outcome(status, answer, err))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// stepText is one step of a job, with a single task.
func stepText(cpu, estimateMs int64, more string) string {
	return fmt.Sprintf(`{"count":1,"cpu":%d,"memMb":64,"estimateMs":%d%s}`, cpu, estimateMs, more)
}

// jobText is the body of a job. Its spec names the cpu and the run time of each of its tasks.
func jobText(cpu, workMs int64, steps ...string) string {
	return fmt.Sprintf(platformNames["job"], cpu, workMs, strings.Join(steps, ","))
}
