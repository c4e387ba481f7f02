package commander

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tailscale/hujson"

	"bronzedrift.example/bronzedrift/internal/checker"
	"bronzedrift.example/bronzedrift/internal/loader"
)

const ownConfig = `{
  // A comment.
  "teams": [
    {"name": "t", "quota": {"tasks-in-flight": 3}},
    {"name": "u"}
  ],
  "services": [
    {"name": "s", "timeout": "2s"}
  ]
}`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// newConfigServer serves a configuration at the operators' interface and fails the test
// on any request that is not a GET.
func newConfigServer(t *testing.T, version uint64, text string) (address string) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/v1/config" {
			t.Errorf("request %s %s may change a VM", r.Method, r.URL)
		}
		body, err := json.Marshal(map[string]any{"version": version, "config": text})
		assert.NoError(t, err)
		_, _ = w.Write(body)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func replaceOnce(t *testing.T, text, from, to string) string {
	t.Helper()
	require.Contains(t, text, from)
	return strings.Replace(text, from, to, 1)
}

// TestCheckOwnForm guards against a mistake in the own form that is not found, or is
// reported at another line or key, and against a verdict other than that of the loader.
func TestCheckOwnForm(t *testing.T) {
	for name, test := range map[string]struct {
		from, to string
		code     checker.Code
		line     int
		key      string
		isError  bool
	}{
		"no JSON":                  {`"name": "u"`, `"name" "u"`, checker.Refused, 5, "", true},
		"unknown key":              {`"timeout"`, `"time-out"`, checker.Refused, 8, "services[0].time-out", true},
		"out of range":             {`"2s"`, `"2h"`, checker.Refused, 8, "services[0].timeout", true},
		"two teams of a name":      {`"u"`, `"t"`, checker.Refused, 5, "teams[1].name", true},
		"two services of a name":   {`{"name": "s", `, `{"name": "s"}, {"name": "s", `, checker.Refused, 8, "services[1].name", true},
		"no services":              {"\n  ],\n  \"services\": [\n    {\"name\": \"s\", \"timeout\": \"2s\"}\n", "\n", checker.Refused, 1, "services", true},
		"quota of no tasks":        {`"tasks-in-flight": 3`, `"tasks-in-flight": 0`, checker.ZeroQuota, 4, "teams[0].quota.tasks-in-flight", false},
		"quota of no starts":       {`"tasks-in-flight": 3`, `"starts-per-second": 0.0`, checker.ZeroQuota, 4, "teams[0].quota.starts-per-second", false},
		"too large for the daemon": {`// A comment.`, strings.Repeat(" ", maxOwnConfigBytes), checker.Refused, 0, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			text := []byte(replaceOnce(t, ownConfig, test.from, test.to))
			_, findings := checkOwnForm(text)
			require.Len(t, findings, 1)
			assert.Equal(t, test.isError, findings[0].IsError)
			assert.Equal(t, test.code, findings[0].Code)
			assert.Equal(t, checker.Position{Line: test.line, Key: test.key}, findings[0].Position)
			if _, err := loader.ParseConfiguration("", text); err != nil {
				assert.True(t, findings[0].IsError, "the loader refuses it: %v", err)
			}
		})
	}
}

// TestDeploymentsAreClean guards against findings in the teams and services of the
// deployments' own settings, checked as configurations of their own.
func TestDeploymentsAreClean(t *testing.T) {
	files, err := filepath.Glob("../../configs/*/*.jsonc")
	require.NoError(t, err)
	require.Len(t, files, 14)
	for _, file := range append(files, "../loader/testdata/good.jsonc") {
		t.Run(file, func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			text, err = hujson.Standardize(text)
			require.NoError(t, err)
			var settings struct {
				Teams    json.RawMessage `json:"teams"`
				Services json.RawMessage `json:"services"`
			}
			require.NoError(t, json.Unmarshal(text, &settings))
			require.NotEmpty(t, settings.Teams)
			require.NotEmpty(t, settings.Services)
			config, err := json.Marshal(settings)
			require.NoError(t, err)
			_, findings := checkOwnForm(config)
			assert.Empty(t, findings)
		})
	}
}

// TestConfigCheckExitCodes guards against an exit code that misleads a script. The fake
// daemon fails the test if the command changes anything.
func TestConfigCheckExitCodes(t *testing.T) {
	const zeroQuota = `{"teams": [{"name": "t", "quota": {"tasks-in-flight": 0}}], "services": []}`
	inForce := newConfigServer(t, 3, ownConfig)
	for name, test := range map[string]struct {
		text string
		args []string
		want int
	}{
		"clean":                    {ownConfig, nil, ExitOK},
		"clean with differences":   {`{"teams": [], "services": []}`, []string{"--operators", inForce}, ExitOK},
		"findings":                 {zeroQuota, nil, ExitFindings},
		"findings compared":        {zeroQuota, []string{"--operators", inForce}, ExitFindings},
		"errors":                   {`{"teams": []}`, []string{"--operators", inForce}, ExitInvalidInput},
		"no JSON":                  {`{`, nil, ExitInvalidInput},
		"unreadable file":          {"", nil, ExitInvalidInput},
		"unreadable other file":    {ownConfig, []string{"--against", "/does/not/exist"}, ExitInvalidInput},
		"other file has errors":    {ownConfig, []string{"--against", "check_test.go"}, ExitInvalidInput},
		"unknown form":             {ownConfig, []string{"--form", "x"}, ExitInvalidInput},
		"unknown format":           {ownConfig, []string{"--format", "x"}, ExitInvalidInput},
		"two sources":              {ownConfig, []string{"--operators", inForce, "--against", "x"}, ExitInvalidInput},
		"operators of other form":  {ownConfig, []string{"--operators", inForce, "--form", "versioned"}, ExitInvalidInput},
		"no daemon":                {ownConfig, []string{"--operators", "127.0.0.1:1"}, ExitFailure},
		"findings, but no daemon":  {zeroQuota, []string{"--operators", "127.0.0.1:1"}, ExitFailure},
		"errors and no daemon":     {`{`, []string{"--operators", "127.0.0.1:1"}, ExitInvalidInput},
		"version is not above":     {"3", []string{"--form", "versioned", "--against", writeFile(t, "3")}, ExitFindings},
		"version is above":         {"4", []string{"--form", "versioned", "--against", writeFile(t, "3")}, ExitOK},
		"older file has a finding": {ownConfig, []string{"--against", writeFile(t, zeroQuota)}, ExitOK},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "absent")
			if test.text != "" {
				file = writeFile(t, test.text)
			}
			_, err := executeCheck(append([]string{file}, test.args...)...)
			assert.Equal(t, test.want, ExitCode(err), "%v", err)
		})
	}
}

// TestConfigCheckArguments guards against a message that does not name the wrong flag.
func TestConfigCheckArguments(t *testing.T) {
	file := writeFile(t, ownConfig)
	for want, args := range map[string][]string{
		`--form: "x" is not known`:                         {"--form", "x"},
		`--format: "x" is not text or json`:                {"--format", "x"},
		"--against and --operators exclude each other":     {"--against", file, "--operators", "127.0.0.1:1"},
		"--operators compares the own form only":           {"--form", "versioned", "--operators", "127.0.0.1:1"},
		"/absent: open /absent: no such file or directory": {"--against", "/absent"},
	} {
		_, err := executeCheck(append([]string{file}, args...)...)
		assert.ErrorContains(t, err, want)
		assert.Equal(t, ExitInvalidInput, ExitCode(err))
	}
}

// TestRepeatedErrors guards against listing an error once for each entry of its name.
func TestRepeatedErrors(t *testing.T) {
	_, findings := checkOwnForm([]byte(`{"teams": [{"name": "t"}, {"name": "t"}, {"name": "t"}], "services": []}`))
	require.Len(t, findings, 2)
	assert.Equal(t, "teams[1].name", findings[0].Key)
	assert.Equal(t, "teams[2].name", findings[1].Key)
}

// executeCheck runs `config check` with a second form whose text is only a version.
func executeCheck(args ...string) (string, error) {
	c := New(Form{Name: "versioned", Check: func(text []byte) (*checker.Configuration, []checker.Finding) {
		config := &checker.Configuration{}
		if _, err := fmt.Sscan(string(text), &config.Version); err != nil {
			return nil, []checker.Finding{{Code: checker.Refused, Message: err.Error(), IsError: true}}
		}
		return config, checker.Check(config)
	}})
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(append([]string{"config", "check"}, args...))
	err := c.Execute()
	return out.String(), err
}

// TestConfigCheckJSON guards against changes of the JSON output, which scripts read.
func TestConfigCheckJSON(t *testing.T) {
	inForce := newConfigServer(t, 3, ownConfig)
	file := writeFile(t, `{
  "teams": [{"name": "t", "quota": {"tasks-in-flight": 4}},
    {"name": "v", "quota": {"starts-per-second": 0}}],
  "services": [{"name": "s", "timeout": "2000ms"}]
}`)
	t.Run("findings and differences", func(t *testing.T) {
		out, err := executeCheck(file, "--operators", inForce, "--format", "json")
		assert.Equal(t, ExitFindings, ExitCode(err))
		assert.JSONEq(t, `{"file": "`+file+`", "result": "findings", "errors": [],
			"findings": [{"line": 3, "key": "teams[1].quota.starts-per-second", "code": "zero-quota",
				"message": "is 0, which admits any number instead of none; leave it out or set at least 1"}],
			"against": {"source": "`+inForce+`", "version": 3},
			"differences": [
				{"change": "changed", "kind": "team", "name": "t", "line": 2, "fields": [{"key": "quota.tasks-in-flight", "from": "3", "to": "4"}]},
				{"change": "added", "kind": "team", "name": "v", "line": 3},
				{"change": "removed", "kind": "team", "name": "u", "line": 5}]}`, out)
	})
	t.Run("errors", func(t *testing.T) {
		file := writeFile(t, "{\n\"teams\": 1, \"services\": []}")
		out, err := executeCheck(file, "--format", "json")
		assert.Equal(t, ExitInvalidInput, ExitCode(err))
		assert.JSONEq(t, `{"file": "`+file+`", "result": "errors", "findings": [], "differences": [],
			"errors": [{"line": 2, "key": "teams", "code": "refused", "message": "must be a list"}]}`, out)
	})
}

// TestConfigCheckText guards against a report without file, line and key.
func TestConfigCheckText(t *testing.T) {
	for name, test := range map[string]struct {
		text, inForce string
		version       uint64
		want          []string
	}{
		"nothing in force": {ownConfig, "", 0, []string{"FILE: clean", "differences from ADDRESS, version 0: 3", `added team "t"`}},
		"no difference":    {ownConfig, ownConfig, 3, []string{"FILE: clean", "differences from ADDRESS, version 3: 0"}},
		"changed": {
			replaceOnce(t, ownConfig, `"tasks-in-flight": 3`, `"starts-per-second": 0.5`), ownConfig, 3,
			[]string{`changed team "t"`, "  quota.starts-per-second: (none) -> 0.5", "  quota.tasks-in-flight: 3 -> (none)"},
		},
		"error": {replaceOnce(t, ownConfig, `"2s"`, `2`), ownConfig, 3, []string{"FILE:8: error: services[0].timeout: must be a duration"}},
		"finding": {
			replaceOnce(t, ownConfig, `3`, `0`), ownConfig, 3,
			[]string{"FILE:4: finding: teams[0].quota.tasks-in-flight: is 0", "[zero-quota]"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			file, address := writeFile(t, test.text), newConfigServer(t, test.version, test.inForce)
			out, _ := executeCheck(file, "--operators", address)
			for _, want := range test.want {
				assert.Contains(t, out, strings.NewReplacer("FILE", file, "ADDRESS", address).Replace(want))
			}
		})
	}
}

// TestReportOrder guards against findings of the comparison that come after those of
// later lines.
func TestReportOrder(t *testing.T) {
	r := &checkJSON{}
	r.add([]checker.Finding{{Position: checker.Position{Line: 5}}})
	r.add([]checker.Finding{{Position: checker.Position{Line: 2}}})
	require.Len(t, r.Findings, 2)
	assert.Equal(t, 2, r.Findings[0].Line)
}

// TestCheckOfManyEntries guards against a check of the own form that takes a second or
// longer for 10,000 entries.
func TestCheckOfManyEntries(t *testing.T) {
	for name, test := range map[string]struct {
		team, service string
		findings      int
	}{
		"clean":          {`{"name": "t%d", "quota": {"tasks-in-flight": 3}}`, `{"name": "s%d", "timeout": "2s"}`, 0},
		"5,000 findings": {`{"name": "t%d", "quota": {"tasks-in-flight": 0}}`, `{"name": "s%d", "timeout": "2s"}`, 5000},
		"10,000 errors":  {`{"name": "t%d", "quota": {"tasks-in-flight": -1}}`, `{"name": "s%d", "timeout": "2"}`, 10_000},
	} {
		t.Run(name, func(t *testing.T) {
			var teams, services strings.Builder
			for i := range 5000 {
				fmt.Fprintf(&teams, "\n"+test.team+",", i)
				fmt.Fprintf(&services, "\n"+test.service+",", i)
			}
			text := `{"teams": [` + teams.String() + `], "services": [` + services.String() + `]}`
			file := writeFile(t, text)
			start := time.Now()
			_, err := executeCheck(file, "--against", file)
			took := time.Since(start)
			t.Log("took", took)
			assert.Less(t, took, time.Second)
			_, findings := checkOwnForm([]byte(text))
			assert.Len(t, findings, test.findings)
			assert.Equal(t, test.findings == 0, err == nil)
		})
	}
}

// TestSettingFindings guards against errors of the loader that are lost because they are
// not joined or not about a setting.
func TestSettingFindings(t *testing.T) {
	for _, err := range []error{errors.New("x"), &loader.SettingError{Fault: "x"}, errors.Join(errors.New("x"))} {
		findings := settingFindings(err)
		require.Len(t, findings, 1)
		assert.Equal(t, "x", findings[0].Message)
		assert.True(t, findings[0].IsError)
	}
}
