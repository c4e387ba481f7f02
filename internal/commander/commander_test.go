package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/reporter"
)

func execute(t *testing.T, args ...string) (string, error) {
	t.Helper()
	c := New()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

func TestCheck(t *testing.T) {
	out, err := execute(t, "check", "../../configs/kinumori/jt-a-1.jsonc")
	require.NoError(t, err)
	assert.Contains(t, out, "ok")
	file := filepath.Join(t.TempDir(), "bad.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(`{"vm": 1}`), 0o600))
	_, err = execute(t, "check", file)
	assert.Equal(t, ExitInvalidInput, ExitCode(err))
	assert.ErrorContains(t, err, file+":1: vm: must be")
}

func TestEveryCommandHasAnExample(t *testing.T) {
	for _, c := range New().Commands() {
		if c.HasSubCommands() || c.Name() == "help" || c.Name() == "completion" {
			continue
		}
		assert.NotEmpty(t, c.Example, c.Name())
	}
}

func TestAddTeam(t *testing.T) {
	answers := map[string]string{
		"team": "nova", "service": "booking", "timeout": "2s", "tasks-in-flight": "7", "starts-per-second": "9",
	}
	text, err := addTeam(nil, answers)
	require.NoError(t, err)
	config, err := loader.ParseConfiguration("text", text)
	require.NoError(t, err)
	assert.Equal(t, 7, config.Teams[0].TasksInFlight)
	_, err = addTeam(text, answers)
	assert.ErrorContains(t, err, `team: "nova" is configured already`)
	answers["team"] = "other"
	both, err := addTeam(text, answers)
	require.NoError(t, err)
	assert.Equal(t, 1, strings.Count(string(both), `"booking"`))
}

func TestReadAnswers(t *testing.T) {
	file := filepath.Join(t.TempDir(), "answers.jsonc")
	for text, wantErr := range map[string]string{
		`{"team": "a b", "service": "s"}`:               "team: must be 1 to 64 letters",
		`{"team": "a", "service": "s", "timeout": "1"}`: "timeout: must be a duration",
		`{"team": "a", "service": "s", "x": 1}`:         "x: is not known",
	} {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := readAnswers(file)
		assert.ErrorContains(t, err, wantErr)
	}
}

func TestTimelinePage(t *testing.T) {
	var page bytes.Buffer
	require.NoError(t, writeTimelinePage(&page, &timelineJSON{
		Events: []reporter.Event{{Number: 301, Name: "job-submitted", VM: "a-1", Job: "<j>"}, {Number: 303, Name: "job-admitted", VM: "b-1"}},
		Gaps:   []string{"c-1 is unreachable"},
	}))
	for _, want := range []string{"<th>a-1</th><th>b-1</th>", "301 job-submitted", "job=&lt;j&gt;", "gap: c-1 is unreachable"} {
		assert.Contains(t, page.String(), want)
	}
}
