//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// cancelBound and contactTime are cancel_ms and contactMs of the settings.
	cancelBound = 3 * time.Second
	contactTime = 3 * time.Second
	// cancelDivisor and copyDivisor: one in cancelDivisor jobs is cancelled right after its ack, and of
	// one in copyDivisor of these a copy arrives some seconds after the 2xx.
	cancelDivisor, copyDivisor = 4, 2
	// Copies are those of jobs that were handed in during the last copyTime of the traffic.
	trafficTime, copyTime = 5 * time.Second, 1500 * time.Millisecond
	// The freeze begins freezeAt after the traffic and lasts for freezeTime, beyond its end.
	freezeAt, freezeTime = 2500 * time.Millisecond, 4 * time.Second
)

// runCancelledKill: clients cancel a share of their jobs right after the ack. Then one process of the core is
// killed and started again. Once it has been in touch for a while, copies of some of the requests arrive.
func runCancelledKill(d *deployment, hasTrouble bool) error {
	return runCancelled(d, func(*vm) {}, func(victim *vm) error {
		if hasTrouble {
			d.signal(victim, syscall.SIGKILL)
			<-victim.exited
		}
		time.Sleep(500 * time.Millisecond)
		if !hasTrouble {
			return nil
		}
		return d.startVM(victim)
	})
}

// runCancelledFreeze is runCancelledKill with a process that is frozen while the jobs are cancelled.
func runCancelledFreeze(d *deployment, hasTrouble bool) error {
	return runCancelled(d, func(victim *vm) {
		time.Sleep(freezeAt)
		if hasTrouble {
			d.signal(victim, syscall.SIGSTOP)
		}
	}, func(victim *vm) error {
		time.Sleep(freezeTime - (trafficTime - freezeAt))
		if hasTrouble {
			d.signal(victim, syscall.SIGCONT)
		}
		return nil
	})
}

// runCancelled calls during beside the traffic, and after it ends.
func runCancelled(d *deployment, during func(*vm), after func(*vm) error) error {
	for _, z := range d.zones {
		d.addVM("state", z)
	}
	for _, z := range d.zones {
		d.addVM("entry", z)
	}
	for _, z := range d.zones {
		for range 4 {
			d.addRunner(z, "a")
		}
	}
	if err := d.start(configurationText(1)); err != nil {
		return err
	}
	type cancelled struct{ id, body string }
	var mu sync.Mutex
	var copies []cancelled
	stop, began := make(chan struct{}), time.Now()
	var clients sync.WaitGroup
	sent := 0
	for c := range 8 {
		clients.Go(func() {
			client := &http.Client{Timeout: timeout}
			entry := d.entries[c%len(d.entries)]
			url := func(id string) string { return fmt.Sprintf("http://%s:%d%s%s", entry.ip, frontendPort, prefix, id) }
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+rand.IntN(60)) * time.Millisecond):
				}
				id, body := fmt.Sprintf("%016x", rand.Uint64()), jobText(2, work{Cores: 2000, Ms: 60})
				d.record.add("job-sent", id, "to", entry.name)
				status, text, err := sendWith(client, http.MethodPost, url(id), host, body, timeout)
				d.record.add("job-answered", id, "by", entry.name, "status", status, "body", text, "error", err)
				mu.Lock()
				sent++
				isCancelled := status == http.StatusOK && sent%cancelDivisor == 0
				isCopied := sent%(cancelDivisor*copyDivisor) == 0
				mu.Unlock()
				if !isCancelled {
					continue
				}
				status, text, err = sendWith(client, http.MethodDelete, url(id), host, "", timeout)
				d.record.add("cancel-answered", id, "by", entry.name, "status", status, "body", text, "error", err)
				if err != nil || status/100 != 2 && status != http.StatusGone {
					continue
				}
				d.record.cancelled(id)
				if isCopied && time.Since(began) > trafficTime-copyTime {
					mu.Lock()
					copies = append(copies, cancelled{id, body})
					mu.Unlock()
				}
			}
		})
	}
	victim := d.states[0]
	during(victim)
	time.Sleep(trafficTime - time.Since(began))
	close(stop)
	clients.Wait()
	if err := after(victim); err != nil {
		return err
	}
	// From here on the process has run, and the core has been stable, for longer than contactTime.
	time.Sleep(contactTime + time.Second)
	for _, c := range copies {
		clients.Go(func() {
			entry := d.entries[rand.IntN(len(d.entries))]
			d.record.add("copy-sent", c.id, "to", entry.name)
			status, text, err := d.send(http.MethodPost, fmt.Sprintf("http://%s:%d%s%s", entry.ip, frontendPort, prefix, c.id), host, c.body, timeout)
			d.record.add("copy-answered", c.id, "by", entry.name, "status", status, "body", text, "error", err)
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	if len(copies) == 0 {
		return fmt.Errorf("no job was cancelled")
	}
	return nil
}
