package decoder

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const goodJob = `{"job-id":"01890a5d-ac96-774b-bcce-b302099a8057","team":"t","service":"s",
	"timeout":"2s","tasks":[{"payload":{"a": 1},"cores":0.5,"expected-run-time":"200ms"},{}]}`

func TestJob(t *testing.T) {
	t.Run("good", func(t *testing.T) {
		j, err := DecodeJob(strings.NewReader(goodJob))
		require.NoError(t, err)
		assert.Equal(t, time.UnixMilli(0x01890a5dac96), j.Submitted)
		assert.Equal(t, `{"a":1}`, string(j.Tasks[0].Payload))
		assert.Equal(t, int64(500), j.Tasks[0].Shape.MilliCores)
		assert.Equal(t, 1, j.Tasks[1].Shape.Slots)
	})
	t.Run("equal content has an equal digest", func(t *testing.T) {
		a, err := DecodeJob(strings.NewReader(goodJob))
		require.NoError(t, err)
		b, err := DecodeJob(strings.NewReader(strings.Replace(goodJob, `"a": 1`, `"a":1`, 1)))
		require.NoError(t, err)
		c, err := DecodeJob(strings.NewReader(strings.Replace(goodJob, `"a": 1`, `"a":2`, 1)))
		require.NoError(t, err)
		assert.Equal(t, a.Digest, b.Digest)
		assert.NotEqual(t, a.Digest, c.Digest)
	})
	t.Run("591 tasks", func(t *testing.T) {
		body := `{"tasks":[` + strings.Repeat("{},", MaxTasks) + `{}]}`
		_, err := DecodeJob(strings.NewReader(body))
		assert.ErrorContains(t, err, "tasks: must be a list of 1 to 590 tasks")
	})
	text, err := os.ReadFile("testdata/jobs.json")
	require.NoError(t, err)
	var cases []struct{ Name, Body, Error string }
	require.NoError(t, json.Unmarshal(text, &cases))
	for _, f := range cases {
		t.Run(f.Name, func(t *testing.T) {
			_, err := DecodeJob(strings.NewReader(f.Body))
			assert.ErrorContains(t, err, f.Error)
		})
	}
}

// announcedAt is when the announcements of the tests arrive.
var announcedAt = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func TestUpstream(t *testing.T) {
	const good = `{"address":"127.0.0.1:9","data-centre":"a","slots":8,"services":["s"],"capabilities":["fence"]}`
	t.Run("good", func(t *testing.T) {
		u, err := DecodeUpstream(announcedAt, "u", strings.NewReader(good))
		require.NoError(t, err)
		assert.Equal(t, 8, u.Capacity.Slots)
		assert.True(t, u.HasCapability("fence"))
	})
	for name, replace := range map[string][3]string{
		"address is no IP":   {"127.0.0.1:9", "localhost:9", "address: must be an IP number"},
		"no slots":           {`"slots":8`, `"slots":0`, "slots: must be a whole number from 1"},
		"unknown capability": {`"fence"`, `"fly"`, "capabilities[0]: must be fence"},
		"no services":        {`["s"]`, `[]`, "services: must name at least one service"},
		"port out of range":  {"127.0.0.1:9", "127.0.0.1:99999", "address: must be an IP number"},
		"no port":            {"127.0.0.1:9", "127.0.0.1:0", "address: must be an IP number"},
		"this VM":            {"127.0.0.1:9", "0.0.0.0:9", "address: must be an IP number"},
		"negative slots":     {`"slots":8`, `"slots":-1`, "slots: must be a whole number from 1"},
		"slots beyond range": {`"slots":8`, `"slots":1e400`, "slots: must be a whole number from 1"},
		"endless cores":      {`"slots":8`, `"slots":8,"cores":1e400`, "cores: must be a number"},
		"started too late":   {`"slots":8`, `"slots":8,"started-at":"9999-12-31T00:00:00Z"`, "started-at: must be a time"},
		"started too early":  {`"slots":8`, `"slots":8,"started-at":"0001-01-02T00:00:00Z"`, "started-at: must be a time"},
		"thousands of names": {`["s"]`, `["s"` + strings.Repeat(`,"s"`, 9000) + `]`, "services: must be a list of at most"},
		"a long rack":        {`"slots":8`, `"slots":8,"rack":"` + strings.Repeat("r", 9000) + `"`, "rack: must be a string of at most"},
		"very deep":          {`["s"]`, strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001), "exceeded max depth"},
		"very deep, unknown": {`"slots":8`, `"slots":8,"x":` + strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001), "x: is not known"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeUpstream(announcedAt, "u", strings.NewReader(strings.Replace(good, replace[0], replace[1], 1)))
			assert.ErrorContains(t, err, replace[2])
		})
	}
}

func TestVerdict(t *testing.T) {
	v, err := DecodeVerdict("vms", "a-1", strings.NewReader(`{"state":"down","sequence":7}`))
	require.NoError(t, err)
	assert.True(t, v.Down)
	assert.Equal(t, uint64(7), v.Sequence)
	for body, wantErr := range map[string]string{
		`{"state":"gone","sequence":7}`:  "state: must be",
		`{"state":"down"}`:               "sequence: is missing",
		`{"state":"down","sequence":-1}`: "sequence: must be a whole number",
	} {
		_, err := DecodeVerdict("vms", "a-1", strings.NewReader(body))
		assert.ErrorContains(t, err, wantErr)
	}
}

func FuzzJob(f *testing.F) {
	f.Add([]byte(goodJob))
	f.Add([]byte(`{"tasks":[{"payload":[[[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		j, err := DecodeJob(bytes.NewReader(body))
		if err == nil {
			assert.NotEmpty(t, j.Tasks)
			assert.False(t, j.Submitted.IsZero())
		}
	})
}

func FuzzUpstream(f *testing.F) {
	f.Add([]byte(`{"address":"127.0.0.1:9","data-centre":"a","slots":8,"services":["s"]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		u, err := DecodeUpstream(announcedAt, "u", bytes.NewReader(body))
		if err == nil {
			assert.Positive(t, u.Capacity.Slots)
		}
	})
}

func FuzzVerdict(f *testing.F) {
	f.Add([]byte(`{"state":"up","sequence":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		v, err := DecodeVerdict("upstreams", "u", bytes.NewReader(body))
		assert.NotNil(t, v)
		if err == nil {
			assert.Equal(t, "u", v.Name)
		}
	})
}

func FuzzUpstreamUsage(f *testing.F) {
	f.Add([]byte(`{"at":"2026-01-01T00:00:00Z","cores":1.5,"memory-bytes":3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		u, err := DecodeUsage(bytes.NewReader(body))
		if err == nil {
			assert.GreaterOrEqual(t, u.MemoryBytes, int64(0))
		}
	})
}
