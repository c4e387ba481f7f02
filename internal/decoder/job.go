package decoder

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/scheduler"
)

// Limits of a job and its tasks.
const (
	MaxTasks        = 590
	maxIDBytes      = 128
	maxNameBytes    = 64
	maxSlots        = 4096
	maxCores        = 4096
	maxMemoryBytes  = 1 << 46
	maxAccelerators = 1024
	minTimeout      = time.Millisecond
	maxTimeout      = 10 * time.Minute
	maxRunTime      = time.Hour
)

// DecodeJob decodes a submission. The job's timeout is zero if none is given.
func DecodeJob(r io.Reader) (*dispatcher.Job, error) {
	j := &dispatcher.Job{}
	dec := json.NewDecoder(r)
	var submitted time.Time
	err := readObject(dec, "", func(o *object, key string) error {
		switch key {
		case "job-id":
			return o.name(key, maxIDBytes, &j.ID)
		case "team":
			return o.name(key, maxNameBytes, &j.Team)
		case "service":
			return o.name(key, maxNameBytes, &j.Service)
		case "home":
			return o.name(key, maxNameBytes, &j.Home)
		case "repeatable":
			return o.value(key, "true or false", &j.Repeatable)
		case "timeout":
			return o.duration(key, minTimeout, maxTimeout, &j.Timeout)
		case "submitted-at":
			return o.time(key, &submitted)
		case "tasks":
			return readTasks(o, key, j)
		}
		return o.unknownKey(key)
	})
	if err == nil {
		err = expectEnd(dec)
	}
	if err != nil {
		return j, err
	}
	return j, completeJob(j, submitted)
}

// completeJob checks that required fields are present and derives the time of
// submission and the digest.
func completeJob(j *dispatcher.Job, submitted time.Time) error {
	switch {
	case j.ID == "":
		return &FieldError{"job-id", "is missing"}
	case j.Team == "":
		return &FieldError{"team", "is missing"}
	case j.Service == "":
		return &FieldError{"service", "is missing"}
	case len(j.Tasks) == 0:
		return &FieldError{"tasks", fmt.Sprintf("must be a list of 1 to %d tasks", MaxTasks)}
	}
	j.Submitted = submitted
	if at, ok := uuidTime(j.ID); ok {
		j.Submitted = at
	}
	if j.Submitted.IsZero() {
		return &FieldError{"submitted-at", "is missing: a job-id that is no UUIDv7 needs the time of its first submission"}
	}
	j.Digest = digest(j)
	return nil
}

// uuidTime returns the timestamp of a UUIDv7, and false for any other id.
func uuidTime(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || len(id) != 36 {
		return time.Time{}, false
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return time.UnixMilli(ms), true
}

// digest returns a hash of the fields that a resubmission must repeat unchanged.
func digest(j *dispatcher.Job) uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%t", j.Team, j.Service, j.Repeatable)
	for i := range j.Tasks {
		t := &j.Tasks[i]
		_, _ = fmt.Fprintf(h, "\x00%v\x00%d\x00", t.Shape, len(t.Payload))
		_, _ = h.Write(t.Payload)
	}
	return h.Sum64()
}

func readTasks(o *object, key string, j *dispatcher.Job) error {
	field := o.fieldPath(key)
	token, err := o.dec.Token()
	if err != nil {
		return syntaxError(field, err)
	}
	if token != json.Delim('[') {
		return &FieldError{field, fmt.Sprintf("must be a list of 1 to %d tasks", MaxTasks)}
	}
	for o.dec.More() {
		if len(j.Tasks) == MaxTasks {
			return &FieldError{field, fmt.Sprintf("must be a list of 1 to %d tasks", MaxTasks)}
		}
		t, err := readTask(o.dec, fmt.Sprintf("%s[%d]", field, len(j.Tasks)))
		if err != nil {
			return err
		}
		j.Tasks = append(j.Tasks, t)
	}
	if _, err := o.dec.Token(); err != nil {
		return syntaxError(field, err)
	}
	return nil
}

func readTask(dec *json.Decoder, path string) (dispatcher.Task, error) {
	t := dispatcher.Task{Payload: []byte("null"), Shape: scheduler.Shape{Slots: 1}}
	slots, accelerators := int64(1), int64(0)
	err := readObject(dec, path, func(o *object, key string) (err error) {
		switch key {
		case "payload":
			t.Payload, err = o.compactJSON(key)
			return err
		case "slots":
			return o.integer(key, 1, maxSlots, &slots)
		case "cores":
			return o.milli(key, maxCores, &t.Shape.MilliCores)
		case "memory-bytes":
			return o.integer(key, 0, maxMemoryBytes, &t.Shape.MemoryBytes)
		case "accelerators":
			return o.integer(key, 0, maxAccelerators, &accelerators)
		case "expected-run-time":
			return o.duration(key, 0, maxRunTime, &t.DeclaredRunTime)
		}
		return o.unknownKey(key)
	})
	t.Shape.Slots, t.Shape.Accelerators = int(slots), int(accelerators)
	return t, err
}
