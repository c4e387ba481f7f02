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

const jobsPerSecond = 60

// runNewKind: a runner crashes and its next boot, under the same id and address, is of another kind. The
// daemon that it reports to first is frozen, so that its report reaches another one a second later.
func runNewKind(d *deployment, hasTrouble bool) error {
	for _, z := range d.zones {
		d.addVM("state", z)
	}
	for _, z := range d.zones {
		d.addVM("entry", z)
	}
	for _, z := range d.zones {
		for _, kind := range []string{"a", "a", "b"} {
			d.addRunner(z, kind)
		}
	}
	if err := d.start(configurationText(1)); err != nil {
		return err
	}
	victim := d.runners[2]
	frozen := d.states[1]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	// Jobs come at random times, whatever becomes of the earlier ones. Two of three require the label "b".
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / jobsPerSecond)):
			}
			w := work{Cores: 2000, Ms: 100}
			if n%3 > 0 {
				w.Label = "b"
			}
			clients.Go(func() {
				client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
				d.submit(client, fmt.Sprintf("%016x", rand.Uint64()), rand.IntN(len(d.entries)), jobText(2, w), 3)
			})
		}
	})
	time.Sleep(4 * time.Second)
	if hasTrouble {
		victim.crash()
		time.Sleep(time.Second)
		d.signal(frozen, syscall.SIGSTOP)
		time.Sleep(500 * time.Millisecond)
		next := *d.addRunner(victim.zone, "a")
		next.id, next.address = victim.id, victim.address
		d.runners[len(d.runners)-1] = &next
		controls := d.controls()
		next.controls = append([]string{controls[1]}, controls[0], controls[2], controls[3])
		if err := next.start(); err != nil {
			return err
		}
		time.Sleep(3500 * time.Millisecond)
		d.signal(frozen, syscall.SIGCONT)
	} else {
		time.Sleep(5 * time.Second)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	return nil
}
