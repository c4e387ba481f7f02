//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// network stands between the processes: a proxy in front of the inner address of each.
type network struct {
	world *world
	mu    sync.Mutex
	// isolated are the names of the processes that are cut off from all others.
	isolated map[string]bool
}

func newNetwork(w *world) *network { return &network{world: w, isolated: map[string]bool{}} }

// isolate cuts a process off from all other processes, or joins it again.
func (n *network) isolate(name string, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[name] = isCut
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated[a] || n.isolated[b]
}

// front listens at the inner address of a process and passes on what comes.
func (n *network) front(target *node) error {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(target.ip, innerPort).String())
	if err != nil {
		return err
	}
	go func() {
		<-n.world.ctx.Done()
		_ = listener.Close()
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.pass(conn, target)
		}
	}()
	return nil
}

func (n *network) pass(source net.Conn, target *node) {
	defer func() { _ = source.Close() }()
	address, err := netip.ParseAddrPort(source.RemoteAddr().String())
	if err != nil {
		return
	}
	from := n.world.nameOf(address.Addr())
	n.waitWhileCut(from, target.name)
	dialled, err := net.Dial("tcp", netip.AddrPortFrom(target.ip, innerRealPort).String())
	if err != nil {
		if tcp, ok := source.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	defer func() { _ = dialled.Close() }()
	ended := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{source, dialled}, {dialled, source}} {
		go func() {
			n.copy(pair[0], pair[1], from, target.name)
			ended <- struct{}{}
		}()
	}
	<-ended
}

// copy passes one direction on. What comes during a cut is held until its end.
func (n *network) copy(from, to net.Conn, a, b string) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		n.waitWhileCut(a, b)
		if _, err := to.Write(buffer[:size]); err != nil {
			return
		}
	}
}

func (n *network) waitWhileCut(a, b string) {
	for n.isCut(a, b) && n.world.ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
}

// channel is one open channel of a runner to a daemon that serves control, through a proxy that can
// hold up what is sent.
type channel struct {
	world  *world
	runner string
	target *node
	url    string
	client *http.Client
	mu     sync.Mutex
	isHeld bool
}

// openChannel prepares the channel. The first call opens it.
func (n *network) openChannel(runner string, target *node) (*channel, error) {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(n.world.nextIP("proxy"), controlPort).String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	c := &channel{world: n.world, runner: runner, target: target, url: "http://" + listener.Addr().String(), client: &http.Client{Timeout: time.Second}}
	go func() {
		<-n.world.ctx.Done()
		_ = listener.Close()
	}()
	go func() {
		source, err := listener.Accept()
		if err != nil {
			return
		}
		dialled, err := net.Dial("tcp", target.control().String())
		if err != nil {
			return
		}
		go c.pass(dialled, source)
		c.pass(source, dialled)
		_ = dialled.Close()
	}()
	return c, nil
}

// hold holds up what is sent from now on, or lets it pass.
func (c *channel) hold(isHeld bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHeld = isHeld
}

func (c *channel) pass(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		for {
			c.mu.Lock()
			isHeld := c.isHeld
			c.mu.Unlock()
			if !isHeld || c.world.ctx.Err() != nil {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if _, err := to.Write(buffer[:size]); err != nil {
			return
		}
	}
}

// send sends one call of the runner on the channel and tells whether it was acknowledged in time.
func (c *channel) send(method, id string, text []byte) bool {
	q, err := http.NewRequest(method, c.url+platformNames["instances"]+id, bytes.NewReader(text))
	if err != nil {
		return false
	}
	answer, err := c.client.Do(q)
	if err != nil {
		c.world.record.add(c.runner, "%s to %s: no response within a second", method, c.target.name)
		return false
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	c.world.record.add(c.runner, "%s to %s: %d", method, c.target.name, answer.StatusCode)
	return answer.StatusCode/100 == 2
}
