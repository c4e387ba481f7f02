// Package assembler runs clusters of daemons and fake upstreams in one process,
// on loopback addresses, for the demo, for measurements and for tests.
package assembler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bronzedrift.example/bronzedrift/internal/daemon"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// Config describes a cluster.
type Config struct {
	// Entries holds the number of entries of each data centre.
	Entries   []int
	Upstreams []UpstreamConfig
	Team      dispatcher.Team
	Service   string
	Policy    scheduler.Policy
	Weighting dispatcher.Weighting
	Limits    loader.Limits
	Log       zerolog.Logger
	// DataFolder is the parent of the state VM's data folder. If it is empty, the
	// cluster has no state VM.
	DataFolder string
}

// Cluster is a running set of daemons and fake upstreams.
type Cluster struct {
	config        Config
	Settings      []*loader.Settings
	Upstreams     []*FakeUpstream
	cancels       []context.CancelFunc
	ended         []chan error
	wg            sync.WaitGroup
	stopUpstreams context.CancelFunc
}

// DataCentreName returns the name of the data centre with the given index.
func DataCentreName(index int) string {
	return "dc-" + string(rune('a'+index))
}

// New starts a cluster. It returns when all caller listeners are open and all
// upstreams are announced.
func New(ctx context.Context, c Config) (*Cluster, error) {
	ctx, stopUpstreams := context.WithCancel(ctx)
	cluster := &Cluster{config: c, stopUpstreams: stopUpstreams}
	if err := cluster.start(ctx); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

func (c *Cluster) start(ctx context.Context) error {
	peers, err := c.peers()
	if err != nil {
		return err
	}
	for i := range peers {
		s, err := c.settingsOf(peers, i)
		if err != nil {
			return err
		}
		c.Settings = append(c.Settings, s)
		c.cancels = append(c.cancels, nil)
		c.ended = append(c.ended, nil)
	}
	for i := range c.Settings {
		if err := c.StartDaemon(i); err != nil {
			return err
		}
	}
	if err := c.startUpstreams(ctx); err != nil {
		return err
	}
	return c.awaitReady(ctx)
}

func (c *Cluster) peers() ([]loader.Peer, error) {
	var peers []loader.Peer
	for dc, count := range c.config.Entries {
		for n := range count {
			inner, err := freeAddress()
			if err != nil {
				return nil, err
			}
			operators, err := freeAddress()
			if err != nil {
				return nil, err
			}
			peers = append(peers, loader.Peer{
				VM:         fmt.Sprintf("%s-%d", DataCentreName(dc), n+1),
				DataCentre: DataCentreName(dc), Roles: []loader.Role{loader.Entry},
				Inner: inner, Operators: operators,
			})
		}
	}
	if c.config.DataFolder == "" {
		return peers, nil
	}
	inner, err := freeAddress()
	if err != nil {
		return nil, err
	}
	operators, err := freeAddress()
	return append(peers, loader.Peer{
		VM: stateVMName, DataCentre: DataCentreName(0), Roles: []loader.Role{loader.State},
		Inner: inner, Operators: operators,
	}), err
}

// stateVMName is the name of a cluster's state VM.
const stateVMName = "state-1"

func (c *Cluster) settingsOf(peers []loader.Peer, i int) (*loader.Settings, error) {
	callers, err := freeAddress()
	if err != nil {
		return nil, err
	}
	metrics, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s := loader.Defaults()
	s.VM, s.DataCentre, s.Peers, s.Roles = peers[i].VM, peers[i].DataCentre, peers, peers[i].Roles
	if s.Has(loader.State) {
		s.DataFolder = filepath.Join(c.config.DataFolder, s.VM)
	}
	s.Listen = loader.Listen{Callers: callers, Operators: peers[i].Operators, Metrics: metrics, Inner: peers[i].Inner}
	s.Teams = []dispatcher.Team{c.config.Team}
	s.Services = []dispatcher.Service{{Name: c.config.Service, Timeout: 30 * time.Second}}
	s.Policy, s.Limits = c.config.Policy, c.config.Limits
	if c.config.Weighting != "" {
		s.Weighting = c.config.Weighting
	}
	return &s, nil
}

// freeAddress returns a loopback address with a port that was free when checked.
// It picks a random IP address, so that processes don't compete for the ports of
// a single one.
func freeAddress() (netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), 1})
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("assembler: finding a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// StartDaemon starts the daemon with the given index, also after StopDaemon.
func (c *Cluster) StartDaemon(i int) error {
	d, err := daemon.New(c.Settings[i], c.config.Log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	c.cancels[i], c.ended[i] = cancel, ended
	c.wg.Go(func() { ended <- d.Run(ctx) })
	return nil
}

// StopDaemon stops the daemon with the given index gracefully and waits for it.
func (c *Cluster) StopDaemon(i int) error {
	if c.cancels[i] == nil {
		return nil
	}
	c.cancels[i]()
	c.cancels[i] = nil
	return <-c.ended[i]
}

func (c *Cluster) startUpstreams(ctx context.Context) error {
	for _, u := range c.config.Upstreams {
		upstream, err := NewFakeUpstream(u, c.config.Service, c.CallerAddressesOf(u.DataCentre))
		if err != nil {
			return err
		}
		c.Upstreams = append(c.Upstreams, upstream)
		c.wg.Go(func() { upstream.Serve(ctx) })
	}
	return nil
}

// CallerAddresses returns the caller listener addresses of all entries.
func (c *Cluster) CallerAddresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, s := range c.Settings {
		if s.Has(loader.Entry) {
			list = append(list, s.Listen.Callers)
		}
	}
	return list
}

// CallerAddressesOf returns the caller listener addresses of the entries of a data centre.
func (c *Cluster) CallerAddressesOf(dataCentre string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, s := range c.Settings {
		if s.DataCentre == dataCentre && s.Has(loader.Entry) {
			list = append(list, s.Listen.Callers)
		}
	}
	return list
}

const (
	readyTimeout      = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

// awaitReady waits for the caller listeners, for the first announcement of each
// upstream and then for the entries to exchange the announcements. At last it
// bootstraps the configuration.
func (c *Cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, a := range c.CallerAddresses() {
		if err := awaitPort(ctx, a); err != nil {
			return err
		}
	}
	for _, u := range c.Upstreams {
		for u.Counts().Announced == 0 {
			if err := sleep(ctx, readyPollInterval); err != nil {
				return err
			}
		}
	}
	if err := sleep(ctx, 10*readyPollInterval); err != nil {
		return err
	}
	return c.bootstrap(ctx)
}

// bootstrap creates the replicated configuration on the state VM, if there is
// one, with the cluster's team and service as its first version.
func (c *Cluster) bootstrap(ctx context.Context) error {
	for _, s := range c.Settings {
		if !s.Has(loader.State) {
			continue
		}
		base := "http://" + s.Listen.Operators.String()
		if err := sendRequest(ctx, http.MethodPost, base+"/v1/state/bootstrap", ""); err != nil {
			return err
		}
		text := fmt.Sprintf(`{"teams": [{"name": %q}], "services": [{"name": %q, "timeout": "30s"}]}`,
			c.config.Team.Name, c.config.Service)
		return sendRequest(ctx, http.MethodPut, base+"/v1/config?base-version=0&change-id=first", text)
	}
	return nil
}

func sendRequest(ctx context.Context, method, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("assembler: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("assembler: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("assembler: %s responded with status %d", url, res.StatusCode)
	}
	return nil
}

func awaitPort(ctx context.Context, a netip.AddrPort) error {
	for {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", a.String())
		if err == nil {
			return conn.Close()
		}
		if err := sleep(ctx, readyPollInterval); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("assembler: waiting for the cluster: %w", ctx.Err())
	case <-time.After(d):
		return nil
	}
}

// Close stops all daemons and upstreams and waits for them.
func (c *Cluster) Close() {
	for _, cancel := range c.cancels {
		if cancel != nil {
			cancel()
		}
	}
	c.stopUpstreams()
	c.wg.Wait()
}
