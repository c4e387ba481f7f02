//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host     = "desk.example"
	prefix   = "/hold/"
	service  = "fitting-desk"
	timeout  = 1500 * time.Millisecond
	resendIn = 1300 * time.Millisecond
	// The ports of a deployment: each VM has an address of its own.
	frontendPort, controlPort, readinessPort = 8161, 8166, 8167
	firstInnerPort, lastInnerPort            = 7720, 7735
)

// vm is one process of the project.
type vm struct {
	name, zone, ip, role string
	folder               string
	mu                   sync.Mutex
	command              *exec.Cmd
	exited               chan struct{}
}

// deployment is the processes of a small installation and its stand-ins.
type deployment struct {
	program, folder, subnet string
	record                  *record
	zones                   []string
	states, entries         []*vm
	runners                 []*runner
	nextHost                int
}

func newDeployment(program, folder string, r *record, zones int) (*deployment, error) {
	d := &deployment{program: program, folder: folder, record: r}
	for i := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i*7)%200, (os.Getpid()/200+i)%250)
		if isFree(subnet) {
			d.subnet = subnet
			break
		}
	}
	if d.subnet == "" {
		return nil, fmt.Errorf("no free loopback addresses")
	}
	for i := range zones {
		d.zones = append(d.zones, fmt.Sprintf("zone-%c", 'a'+i))
	}
	return d, nil
}

func isFree(subnet string) bool {
	for _, port := range []int{frontendPort, controlPort, readinessPort, firstInnerPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", subnet, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (d *deployment) nextIP() string {
	d.nextHost++
	return fmt.Sprintf("%s.%d", d.subnet, d.nextHost)
}

func (d *deployment) addVM(role, zone string) *vm {
	v := &vm{role: role, zone: zone, ip: d.nextIP()}
	list := &d.entries
	if role == "state" {
		list = &d.states
	}
	v.name = fmt.Sprintf("%s-%s-%d", role, zone, len(*list)+1)
	v.folder = filepath.Join(d.folder, v.name)
	*list = append(*list, v)
	return v
}

// addRunner adds a runner that is not started yet.
func (d *deployment) addRunner(zone, kind string) *runner {
	n := len(d.runners) + 1
	u := &runner{
		id: fmt.Sprintf("i-%08x", 0x7f3a9100+n), service: service, zone: zone, address: d.nextIP() + ":8080",
		labels: []string{kind, fmt.Sprintf("r%s-1", strings.TrimPrefix(zone, "zone-"))}, cores: runnerCores, record: d.record,
	}
	d.runners = append(d.runners, u)
	return u
}

func (d *deployment) controls() []string {
	var list []string
	for _, s := range d.states {
		list = append(list, fmt.Sprintf("%s:%d", s.ip, controlPort))
	}
	return list
}

func (d *deployment) writeSettings(v *vm, isFirst bool) error {
	zones := map[string]string{}
	for _, z := range d.zones {
		zones[z] = "area"
	}
	listen := map[string]string{"readiness": fmt.Sprintf("%s:%d", v.ip, readinessPort)}
	serves, class, disk := "frontend", "frontend", 0
	var data any
	if v.role == "state" {
		serves, class, disk = "control", "core", 128
		listen["control"] = fmt.Sprintf("%s:%d", v.ip, controlPort)
		data = filepath.Join(v.folder, "data")
		if err := os.MkdirAll(data.(string), 0o700); err != nil {
			return err
		}
	} else {
		listen["frontend"] = fmt.Sprintf("%s:%d", v.ip, frontendPort)
	}
	controls := d.controls()
	f := map[string]any{
		"nodeName": v.name, "role": v.role, "machineClass": class, "serves": []string{serves}, "ip": v.ip, "zone": v.zone, "region": "area",
		"zones": zones, "listen": listen, names["internal-ports"]: []int{firstInnerPort, lastInnerPort}, "seeds": controls[:min(3, len(controls))],
		"bootstrap": isFirst, "inTolerance": v.role == "state",
		"limits":  map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": disk},
		"dataDir": data, "discovery": "registry", "entry": "vip", "heartbeatMs": reportInterval.Milliseconds(),
		"contracts":        []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		names["tolerance"]: map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "holdMaxMs": 1000,
			"stopMs": 50, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			"remoteFactor": 2, "checkpointS": 0.5, "restoreMs": 600, "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2,
			"fencingEnforced": true, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "impactMs": 4000, "retransmitMs": resendIn.Milliseconds(),
		},
		"config_mode": "highest", "orders": "call",
	}
	text, err := json.Marshal(f)
	if err != nil {
		return err
	}
	file := filepath.Join(v.folder, "node.json")
	if err := os.WriteFile(file+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// startVM starts the program of a VM as the deploy file does. It is called by the main goroutine alone.
func (d *deployment) startVM(v *vm) error {
	words := []string{v.role}
	if v.role == "entry" {
		words = append(words, "--balance-load")
	}
	log, err := os.OpenFile(filepath.Join(v.folder, "log.json"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(d.program, words...)
	command.Env = append(os.Environ(), names["settings-path"]+"="+filepath.Join(v.folder, "node.json"))
	command.Stdout, command.Stderr = log, log
	// Pdeathsig ends the program with the thread that has started it, to which main is locked.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.command, v.exited = command, exited
	v.mu.Unlock()
	d.record.add("vm-started", v.name, "pid", command.Process.Pid)
	go func() {
		err := command.Wait()
		d.record.add("vm-ended", v.name, "state", err)
		close(exited)
	}()
	return nil
}

func (d *deployment) vms() []*vm { return append(append([]*vm{}, d.states...), d.entries...) }

func (d *deployment) signal(v *vm, s syscall.Signal) {
	d.record.add("signal", v.name, "signal", s)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command != nil {
		_ = v.command.Process.Signal(s)
	}
}

// start starts all processes and runners, sends the first configuration and waits until all entries
// are ready.
func (d *deployment) start(configuration string) error {
	for _, v := range d.vms() {
		if err := os.MkdirAll(v.folder, 0o700); err != nil {
			return err
		}
		if err := d.writeSettings(v, true); err != nil {
			return err
		}
		if err := d.startVM(v); err != nil {
			return err
		}
	}
	for _, u := range d.runners {
		u.controls = d.controls()
		if err := u.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for status := 0; status != http.StatusOK; {
		for _, c := range d.controls() {
			if status, _, _ = d.send(http.MethodPut, "http://"+c+names["config"], "", configuration, time.Second); status == http.StatusOK {
				d.record.add("configuration-acknowledged", c)
				break
			}
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the first configuration is not acknowledged")
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, v := range d.vms() {
		if err := d.writeSettings(v, false); err != nil {
			return err
		}
	}
	for _, e := range d.entries {
		for {
			status, _, _ := d.send(http.MethodGet, fmt.Sprintf("http://%s:%d%s", e.ip, readinessPort, names["ready"]), "", "", time.Second)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	for _, v := range d.vms() {
		v.mu.Lock()
		command, exited := v.command, v.exited
		v.mu.Unlock()
		if command == nil {
			continue
		}
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-exited
	}
	for _, u := range d.runners {
		if u.cancel != nil && !u.isDown {
			u.crash()
		}
	}
}

// configurationText is a configuration with one queue.
func configurationText(version int) string {
	return fmt.Sprintf(names["configuration"],
		version, host, prefix, timeout.Milliseconds(), service, service)
}

// jobText is a best-effort job with one step.
func jobText(tasks int, w work) string {
	spec, _ := json.Marshal(w)
	step := map[string]any{"count": tasks, "cpu": w.Cores, "memMb": 64, "estimateMs": w.Ms}
	if w.Label != "" {
		step["requirements"] = w.Label
	}
	text, _ := json.Marshal(map[string]any{"spec": string(spec), names["best-effort"]: true, "steps": []any{step}})
	return string(text)
}

// send sends one request on a channel of its own.
func (d *deployment) send(method, url, hostName, body string, limit time.Duration) (int, string, error) {
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	return sendWith(client, method, url, hostName, body, limit)
}

func sendWith(client *http.Client, method, url, hostName, body string, limit time.Duration) (int, string, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	// Without GetBody the transport does not repeat a request.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(names["deadline"], fmt.Sprint(limit.Milliseconds()))
	if hostName != "" {
		request.Host = hostName
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text)), err
}

// submit hands a job in as a client does: after no response, a broken channel, a 502 or a 504 it is sent
// again resendIn later, to the next entry.
func (d *deployment) submit(client *http.Client, id string, first int, body string, attempts int) {
	for i := range attempts {
		e := d.entries[(first+i)%len(d.entries)]
		d.record.add("job-sent", id, "to", e.name)
		status, text, err := sendWith(client, http.MethodPost, fmt.Sprintf("http://%s:%d%s%s", e.ip, frontendPort, prefix, id), host, body, timeout)
		d.record.add("job-answered", id, "by", e.name, "status", status, "body", text, "error", err)
		if err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(resendIn)
	}
}
