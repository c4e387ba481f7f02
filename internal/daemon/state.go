package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzedrift.example/bronzedrift/internal/configurer"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/keeper"
	"bronzedrift.example/bronzedrift/internal/listener"
	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/messenger/wire"
	"bronzedrift.example/bronzedrift/internal/recorder"
	"bronzedrift.example/bronzedrift/internal/replicator"
	"bronzedrift.example/bronzedrift/internal/storer"
)

// initKeeper creates the keeper of the replicated configuration. On a state VM
// the keeper stores its replica in the data folder.
func (d *Daemon) initKeeper() error {
	s := d.settings
	c := keeper.Config{VM: s.VM, Timing: replicator.DefaultTiming(), Seed: rand.Uint64(), Now: d.now}
	var stateVMs []string
	for _, p := range s.Peers {
		if p.Has(loader.State) {
			stateVMs = append(stateVMs, p.VM)
		}
	}
	c.StateVMs = func() []string { return stateVMs }
	if s.Has(loader.State) {
		disk, err := storer.NewFolderDisk(s.DataFolder)
		if err != nil {
			return fmt.Errorf("daemon: %w", err)
		}
		c.Disk = disk
	}
	k, err := keeper.New(c, keeper.Handlers{
		Send: d.sendStateMessage, Broadcast: d.broadcastStateMessage, Activate: d.applyConfiguration,
		ActivateEvacuations: d.passOnEvacuations, Event: d.record,
	})
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	d.keeper = k
	// The set of the disk is in force before the dispatcher grants anything.
	d.applyEvacuations(k.Evacuations())
	return nil
}

func (d *Daemon) sendStateMessage(vm string, m *wire.StateMessage) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return
	}
	d.queueState(vm, m, payload)
}

// queueState queues an encoded message for a VM. The heartbeats of a daemon carry no versions,
// so that a push without room must be repeated.
func (d *Daemon) queueState(vm string, m *wire.StateMessage, payload []byte) {
	send := d.messenger.SendBulk
	if m.GetLog() != nil {
		send = d.messenger.SendLog
	}
	if !send(vm, payload) && keeper.IsPush(m) {
		d.keeper.PushDropped(vm)
	}
}

func (d *Daemon) broadcastStateMessage(m *wire.StateMessage) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return
	}
	for _, p := range d.settings.Peers {
		if p.VM != d.settings.VM {
			d.queueState(p.VM, m, payload)
		}
	}
}

func (d *Daemon) receiveStateMessage(from string, payload []byte) {
	m := &wire.StateMessage{}
	if err := proto.Unmarshal(payload, m); err != nil {
		d.record(recorder.Event{Number: recorder.LinkRefused, Peer: from, Text: err.Error(), Task: recorder.NoTask})
		return
	}
	d.keeper.Receive(from, m)
}

// applyConfiguration makes a configuration version the one in force on this VM.
func (d *Daemon) applyConfiguration(c configurer.Configuration) {
	parsed, err := loader.ParseConfiguration("configuration", c.Text)
	if err != nil {
		d.record(recorder.Event{Number: recorder.SettingsRefused, Text: err.Error(), Task: recorder.NoTask})
		return
	}
	d.configVersion.Store(c.Version)
	d.listener.SetServices(parsed.Services)
	d.enqueue(dispatcher.Input{Configure: &dispatcher.Configuration{Teams: parsed.Teams, Services: parsed.Services}})
	d.record(recorder.Event{Number: recorder.ConfigurationInUse, Text: fmt.Sprintf("version %d", c.Version), Task: recorder.NoTask})
}

const configRequestTimeout = 5 * time.Second

// addConfigHandlers adds the HTTP handlers that the keeper serves.
func (d *Daemon) addConfigHandlers(h *listener.Handlers) {
	h.ReadConfig = func(ctx context.Context) (keeper.View, error) {
		ctx, cancel := context.WithTimeout(ctx, configRequestTimeout)
		defer cancel()
		return d.keeper.Read(ctx)
	}
	h.ChangeConfig = func(ctx context.Context, ch configurer.Change) (configurer.Outcome, error) {
		ctx, cancel := context.WithTimeout(ctx, configRequestTimeout)
		defer cancel()
		return d.keeper.Change(ctx, ch)
	}
	h.Bootstrap = d.bootstrap
	h.RemoveVM = func(ctx context.Context, vm string) error {
		ctx, cancel := context.WithTimeout(ctx, configRequestTimeout)
		defer cancel()
		return d.keeper.Remove(ctx, vm)
	}
}

func (d *Daemon) bootstrap(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, configRequestTimeout)
	defer cancel()
	return d.keeper.Bootstrap(ctx)
}
