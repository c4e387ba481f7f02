//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the small deployment kinumori-fit, as the platform gives them to a process.
const (
	heartbeatMs   = 1500
	contactTime   = 3 * time.Second
	ackTimeout    = 4 * time.Second
	cancelTime    = 3 * time.Second
	drainTime     = 2 * time.Second
	addressReuse  = 2 * time.Second
	stopTime      = 50 * time.Millisecond
	maxLease      = time.Second
	resendAfter   = 1300 * time.Millisecond
	recoveryTime  = 12 * time.Second
	settleTime    = 10 * time.Second
	frontendPort  = 8161
	readinessPort = 8167
	controlPort   = 8166
	innerPort     = 7720
	innerLastPort = 7735
	innerRealPort = 7721
	runnerPort    = 8080
	runnerCPU     = 16000
	serviceName   = "fitting-desk"
	hostName      = "nony24.example"
	routePrefix   = "/lohu930/"
	entryCommand  = "entry"
	stateCommand  = "state"
	nodeProgram   = "target/bronzedrift-node"
	loadBalancing = "--balance-load"
)

var zones = []string{"jt-a", "jt-b", "jt-c", "jt-d"}

// world is one deployment: processes, runners and the network between them.
type world struct {
	record  *record
	trouble bool
	ctx     context.Context
	cancel  context.CancelFunc
	folder  string
	network *network
	states  []*node
	entries []*node
	runners []*runner
	names   map[netip.Addr]string
	subnet  [2]byte
	lastIP  byte
	// runnerZones are the zones that have runners.
	runnerZones []string
	// keepsStart makes the next start order go unanswered; its runner keeps it.
	keepsStart atomic.Bool
	// onStart and onEnd, if set, are told of the runs.
	onStart func(r *runner, t *taskRun)
	onEnd   func(r *runner, t *taskRun, how string)
	mu      sync.Mutex
}

// node is one process of the project.
type node struct {
	name, zone string
	isState    bool
	ip         netip.Addr
	folder     string
	command    *exec.Cmd
	ended      chan struct{}
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("world: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		record: r, trouble: trouble, ctx: ctx, cancel: cancel, folder: folder, names: map[netip.Addr]string{}, runnerZones: zones,
		subnet: [2]byte{byte(128 + os.Getpid()%64), byte(os.Getpid() / 64 % 256)},
	}
	w.network = newNetwork(w)
	r.add("case", "trouble: %t", trouble)
	return w, nil
}

// close ends all processes that were started and removes the temporary folder.
func (w *world) close() {
	w.cancel()
	for _, n := range append(append([]*node{}, w.states...), w.entries...) {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		if n.ended != nil {
			<-n.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}

// nextIP returns the next unused loopback address and names it.
func (w *world) nextIP(name string) netip.Addr {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastIP++
	ip := netip.AddrFrom4([4]byte{127, w.subnet[0], w.subnet[1], w.lastIP})
	w.names[ip] = name
	return ip
}

func (w *world) nameOf(ip netip.Addr) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.names[ip]
}

// start starts a state VM in each zone, entries and runners, sends the first configuration and waits until the
// deployment serves.
func (w *world) start(entriesPerZone, runnersPerZone int) error {
	for i := range zones {
		name := fmt.Sprintf("core-%d", i+1)
		w.states = append(w.states, &node{name: name, zone: zones[i], isState: true, ip: w.nextIP(name)})
	}
	for i := range entriesPerZone * len(zones) {
		name := fmt.Sprintf("frontend-%d", i+1)
		w.entries = append(w.entries, &node{name: name, zone: zones[i%len(zones)], ip: w.nextIP(name)})
	}
	for _, n := range append(append([]*node{}, w.states...), w.entries...) {
		if err := w.writeSettings(n, true); err != nil {
			return err
		}
		if err := w.network.front(n); err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	for i := range runnersPerZone * len(w.runnerZones) {
		if _, err := w.addRunner(w.runnerZones[i%len(w.runnerZones)], []string{"a"}); err != nil {
			return err
		}
	}
	if !w.sendConfiguration(configuration(1), settleTime) {
		return fmt.Errorf("%w: the first configuration is not acknowledged", errNotRun)
	}
	for _, n := range append(append([]*node{}, w.states...), w.entries...) {
		if err := w.writeSettings(n, false); err != nil {
			return err
		}
	}
	return w.waitReady()
}

func (w *world) startNode(n *node) error {
	args := []string{entryCommand, loadBalancing}
	if n.isState {
		args = []string{stateCommand}
	}
	log, err := os.OpenFile(filepath.Join(n.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	defer func() { _ = log.Close() }()
	n.command = exec.Command(nodeProgram, args...)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.folder, platformNames["settings-path"] + "=" + n.settingsPath()}
	n.command.Stdout, n.command.Stderr = log, log
	// The process ends with this one, however that ends.
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started, ended := make(chan error, 1), make(chan struct{})
	go func() {
		defer close(ended)
		// Pdeathsig acts when the thread that started the process ends.
		runtime.LockOSThread()
		err := n.command.Start()
		started <- err
		if err == nil {
			_ = n.command.Wait()
		}
	}()
	n.ended = ended
	if err := <-started; err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	w.record.add(n.name, "started in %s at %s", n.zone, n.ip)
	return nil
}

func (n *node) settingsPath() string { return filepath.Join(n.folder, "node.json") }

func (n *node) signal(s syscall.Signal) {
	if n.command != nil && n.command.Process != nil {
		// An error means that the process has ended.
		_ = n.command.Process.Signal(s)
	}
}

func (n *node) control() netip.AddrPort  { return netip.AddrPortFrom(n.ip, controlPort) }
func (n *node) frontend() netip.AddrPort { return netip.AddrPortFrom(n.ip, frontendPort) }

// writeSettings writes the settings file that the platform gives to a process. Only inner-listen is
// the project's own: it lets a proxy stand between the processes.
func (w *world) writeSettings(n *node, isBootstrap bool) error {
	n.folder = filepath.Join(w.folder, n.name)
	data := filepath.Join(n.folder, "data")
	if err := os.MkdirAll(data, 0o700); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	zoneRegions := map[string]string{}
	for _, z := range zones {
		zoneRegions[z] = "jawa-tengah"
	}
	listen := map[string]string{"readiness": netip.AddrPortFrom(n.ip, readinessPort).String()}
	role, class, memory, cpuShare := "entry", "frontend", 284, 0.4
	settings := map[string]any{}
	if n.isState {
		role, class, memory, cpuShare = "state", "core", 280, 0.8
		listen = map[string]string{"control": n.control().String()}
		settings["dataDir"] = data
	} else {
		listen["frontend"] = n.frontend().String()
		settings["dataDir"] = nil
	}
	seeds := []string{}
	for _, s := range w.states[:min(3, len(w.states))] {
		seeds = append(seeds, s.control().String())
	}
	for k, v := range map[string]any{
		"nodeName": n.name, "role": role, "machineClass": class, "serves": []string{class}, "ip": n.ip.String(), "zone": n.zone,
		"region": "jawa-tengah", "zones": zoneRegions, "listen": listen, platformNames["internal-ports"]: []int{innerPort, innerLastPort},
		"inner-listen": netip.AddrPortFrom(n.ip, innerRealPort).String(), "seeds": seeds, "bootstrap": isBootstrap, "inTolerance": false,
		"limits":    map[string]any{"cpuShare": cpuShare, "cores": 1, "memoryMb": memory, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 128},
		"discovery": "registry", "entry": "vip", "heartbeatMs": heartbeatMs,
		"contracts":                []string{"base", "drain", "config", "cost", "recover", "sched"},
		platformNames["tolerance"]: map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "holdMaxMs": 1000,
			"stopMs": 50, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			"remoteFactor": 2, "checkpointS": 0.5, "restoreMs": 600, "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2,
			"fencingEnforced": true, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "impactMs": 4000, "retransmitMs": 1300,
		},
		"config_mode": "highest", "orders": "call",
	} {
		settings[k] = v
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	newFile := n.settingsPath() + ".new"
	if err := os.WriteFile(newFile, text, 0o600); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	return os.Rename(newFile, n.settingsPath())
}

// waitReady waits until all entries say that they are ready.
func (w *world) waitReady() error {
	end := time.Now().Add(settleTime)
	for _, n := range w.entries {
		for !isReady(n) {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s is not ready", errNotRun, n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Leases and links settle.
	time.Sleep(2 * time.Second)
	w.record.add("case", "all entries are ready")
	return nil
}
