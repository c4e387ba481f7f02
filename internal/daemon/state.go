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

// openKeeper opens the configuration's part of the daemon, with the data folder
// where the daemon has the role state.
func (d *Daemon) openKeeper() error {
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
		disk, err := storer.NewFolder(s.DataFolder)
		if err != nil {
			return fmt.Errorf("daemon: %w", err)
		}
		c.Disk = disk
	}
	k, err := keeper.New(c, keeper.Handlers{
		Send: d.sendState, Spread: d.spreadState, Apply: d.applyConfiguration, Event: d.event,
	})
	if err != nil {
		return fmt.Errorf("daemon: %w", err)
	}
	d.keeper = k
	return nil
}

func (d *Daemon) sendState(vm string, m *wire.StateMessage) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return
	}
	d.messenger.SendLog(vm, payload)
}

func (d *Daemon) spreadState(m *wire.StateMessage) {
	for _, p := range d.settings.Peers {
		if p.VM != d.settings.VM {
			d.sendState(p.VM, m)
		}
	}
}

func (d *Daemon) receiveState(from string, payload []byte) {
	m := &wire.StateMessage{}
	if err := proto.Unmarshal(payload, m); err != nil {
		d.event(recorder.Event{Number: recorder.LinkRefused, Peer: from, Text: err.Error(), Task: recorder.NoTask})
		return
	}
	d.keeper.Receive(from, m)
}

// applyConfiguration puts a version in force at this entry.
func (d *Daemon) applyConfiguration(c configurer.Configuration) {
	parsed, err := loader.ParseConfiguration("configuration", c.Text)
	if err != nil {
		d.event(recorder.Event{Number: recorder.SettingsRefused, Text: err.Error(), Task: recorder.NoTask})
		return
	}
	d.version.Store(c.Version)
	d.listener.SetServices(parsed.Services)
	d.put(dispatcher.Input{Configure: &dispatcher.Configuration{Teams: parsed.Teams, Services: parsed.Services}})
	d.event(recorder.Event{Number: recorder.ConfigurationInUse, Text: fmt.Sprintf("version %d", c.Version), Task: recorder.NoTask})
}

const stateTimeout = 5 * time.Second

// configHandlers are the part of the HTTP interface that the keeper answers.
func (d *Daemon) configHandlers(h *listener.Handlers) {
	h.ReadConfig = func(ctx context.Context) (keeper.View, error) {
		ctx, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()
		return d.keeper.Read(ctx)
	}
	h.ChangeConfig = func(ctx context.Context, ch configurer.Change) (configurer.Outcome, error) {
		ctx, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()
		return d.keeper.Change(ctx, ch)
	}
	h.Bootstrap = d.keeperBootstrap
	h.RemoveVM = func(ctx context.Context, vm string) error {
		ctx, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()
		return d.keeper.Remove(ctx, vm)
	}
}

func (d *Daemon) keeperBootstrap(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return d.keeper.Bootstrap(ctx)
}
