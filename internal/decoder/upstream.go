package decoder

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/router"
	"bronzedrift.example/bronzedrift/internal/validator"
)

const (
	maxServices     = 256
	maxCapabilities = 16
)

// DecodeUpstream decodes the announcement of the named upstream that arrives at a time.
func DecodeUpstream(now time.Time, name string, r io.Reader) (*dispatcher.Upstream, error) {
	u := &dispatcher.Upstream{Name: name}
	if !IsName(name, maxNameBytes) {
		return u, &FieldError{"name", "must be a name"}
	}
	dec := json.NewDecoder(r)
	var slots, accelerators int64
	var capabilities []string
	err := readObject(dec, "", func(o *object, key string) error {
		switch key {
		case "address":
			return o.address(key, &u.Address)
		case "data-centre":
			return o.name(key, maxNameBytes, &u.DataCentre)
		case "rack":
			return o.text(key, &u.Rack)
		case "slots":
			return o.integer(key, 1, maxSlots, &slots)
		case "cores":
			return o.milli(key, maxCores, &u.Capacity.MilliCores)
		case "memory-bytes":
			return o.integer(key, 0, maxMemoryBytes, &u.Capacity.MemoryBytes)
		case "accelerators":
			return o.integer(key, 0, maxAccelerators, &accelerators)
		case "services":
			return o.names(key, maxNameBytes, maxServices, &u.Services)
		case "capabilities":
			return o.names(key, maxNameBytes, maxCapabilities, &capabilities)
		case "leaving":
			return o.value(key, "true or false", &u.Leaving)
		case "started-at":
			return o.time(key, &u.MemorySince)
		}
		return o.unknownKey(key)
	})
	if err == nil {
		err = expectEnd(dec)
	}
	u.Capacity.Slots, u.Capacity.Accelerators = int(slots), int(accelerators)
	if err != nil {
		return u, err
	}
	if !validator.IsStartTime(now, u.MemorySince) {
		return u, &FieldError{"started-at", "must be a time since 1970, at most a day ahead"}
	}
	return u, completeUpstream(u, capabilities)
}

func completeUpstream(u *dispatcher.Upstream, capabilities []string) error {
	switch {
	case !u.Address.IsValid():
		return &FieldError{"address", "is missing"}
	case u.DataCentre == "":
		return &FieldError{"data-centre", "is missing"}
	case u.Capacity.Slots == 0:
		return &FieldError{"slots", "is missing"}
	case len(u.Services) == 0:
		return &FieldError{"services", "must name at least one service"}
	}
	for i, c := range capabilities {
		capability := dispatcher.Capability(c)
		switch capability {
		case dispatcher.Fence, dispatcher.Stop, dispatcher.Checkpoint, dispatcher.Throttle:
			u.Capabilities = append(u.Capabilities, capability)
		default:
			return &FieldError{fmt.Sprintf("capabilities[%d]", i), "must be fence, stop, checkpoint or throttle"}
		}
	}
	return nil
}

// Usage is the resource usage that an upstream reports. It lags behind the
// actual usage.
type Usage struct {
	At          time.Time
	MilliCores  int64
	MemoryBytes int64
}

// DecodeUsage decodes a usage report.
func DecodeUsage(r io.Reader) (Usage, error) {
	var u Usage
	dec := json.NewDecoder(r)
	err := readObject(dec, "", func(o *object, key string) error {
		switch key {
		case "at":
			return o.time(key, &u.At)
		case "cores":
			return o.milli(key, maxCores, &u.MilliCores)
		case "memory-bytes":
			return o.integer(key, 0, maxMemoryBytes, &u.MemoryBytes)
		}
		return o.unknownKey(key)
	})
	if err == nil {
		err = expectEnd(dec)
	}
	return u, err
}

const maxSequence = 1<<63 - 1

// DecodeVerdict decodes the monitoring group's verdict that a VM or an upstream is up
// or down.
func DecodeVerdict(kind, name string, r io.Reader) (*router.Verdict, error) {
	v := &router.Verdict{Kind: router.SubjectKind(kind), Name: name}
	if v.Kind != router.SubjectVM && v.Kind != router.SubjectUpstream {
		return v, &FieldError{"path", "must name upstreams or vms"}
	}
	if !IsName(name, maxNameBytes) {
		return v, &FieldError{"name", "must be a name"}
	}
	dec := json.NewDecoder(r)
	var state string
	sequence := int64(-1)
	err := readObject(dec, "", func(o *object, key string) error {
		switch key {
		case "state":
			return o.value(key, "\"up\" or \"down\"", &state)
		case "sequence":
			return o.integer(key, 0, maxSequence, &sequence)
		}
		return o.unknownKey(key)
	})
	if err == nil {
		err = expectEnd(dec)
	}
	switch {
	case err != nil:
		return v, err
	case state != "up" && state != "down":
		return v, &FieldError{"state", "must be \"up\" or \"down\""}
	case sequence < 0:
		return v, &FieldError{"sequence", "is missing"}
	}
	v.Down, v.Sequence = state == "down", uint64(sequence)
	return v, nil
}
