package loader

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func readFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return string(text)
}

func TestParse(t *testing.T) {
	good := readFile(t, "good.jsonc")
	t.Run("good", func(t *testing.T) {
		s, err := Parse("file", []byte(good))
		require.NoError(t, err)
		assert.Equal(t, 10, s.Limits.MaxQueuedTasks)
		assert.Equal(t, time.Minute, s.Limits.JobIDRetention)
		assert.Equal(t, Defaults().Limits.ClockSkew, s.Limits.ClockSkew)
		assert.Equal(t, 3, s.Teams[0].TasksInFlight)
	})
	var cases []struct{ Name, Replace, By, Error string }
	require.NoError(t, json.Unmarshal([]byte(readFile(t, "faults.json")), &cases))
	for _, f := range cases {
		t.Run(f.Name, func(t *testing.T) {
			require.Contains(t, good, f.Replace)
			_, err := Parse("file", []byte(strings.Replace(good, f.Replace, f.By, 1)))
			require.Error(t, err)
			assert.Contains(t, err.Error(), f.Error)
		})
	}
}

func TestExampleSettings(t *testing.T) {
	files, err := filepath.Glob("../../configs/*/*.jsonc")
	require.NoError(t, err)
	require.Len(t, files, 14)
	for _, file := range files {
		_, err := Load(file)
		assert.NoError(t, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"vm": "a", "peers": [], "listen": {}}`))
	f.Add([]byte(`[1, /* no end`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("file", text)
		assert.Equal(t, err == nil, s != nil)
	})
}

func FuzzParseConfiguration(f *testing.F) {
	f.Add([]byte(`{"teams": [{"name": "t"}], "services": [{"name": "s", "timeout": "2s"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := ParseConfiguration("file", text)
		if err != nil {
			return
		}
		again, err := ParseConfiguration("file", FormatConfiguration(c))
		if assert.NoError(t, err) {
			assert.Equal(t, c, again)
		}
	})
}

// TestManyEqualNames guards against faults that grow with the square of the entries: a request
// of a few hundred kilobytes must not take a daemon's memory.
func TestManyEqualNames(t *testing.T) {
	const teams = 10_000
	entry := `{"name":"presa-dijeli","quota":{"tasks-in-flight":1,"starts-per-second":1}},`
	text := `{"teams":[` + strings.TrimSuffix(strings.Repeat(entry, teams), ",") + `],"services":[]}`
	started := time.Now()
	_, err := ParseConfiguration("c", []byte(text))
	require.Error(t, err)
	assert.Less(t, time.Since(started), time.Second)
	assert.Less(t, strings.Count(err.Error(), "listed twice"), teams)
}
