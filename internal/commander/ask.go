package commander

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"bronzedrift.example/bronzedrift/internal/decoder"
	"bronzedrift.example/bronzedrift/internal/dispatcher"
	"bronzedrift.example/bronzedrift/internal/loader"
)

// question is one prompt of the questionnaire. Answers that fail isValid are
// rejected with the text in allowed.
type question struct {
	key           string
	prompt        string
	defaultAnswer string
	allowed       string
	isValid       func(answer string) bool
}

// questions are the prompts for adding a team.
var questions = []question{
	{"team", "Name of the team", "", "1 to 64 letters, digits, dots, hyphens or underscores", isName},
	{"service", "Name of the service that the team uses", "", "1 to 64 letters, digits, dots, hyphens or underscores", isName},
	{"timeout", "Default timeout of the service's jobs", "10s", "a duration from 1ms to 10m0s", isTimeout},
	{"tasks-in-flight", "Maximum number of tasks in flight, 0 for unlimited", "0", "a whole number from 0 to 100000000", isQuota},
	{"starts-per-second", "Maximum number of starts per second, 0 for unlimited", "0", "a whole number from 0 to 100000000", isQuota},
}

func isName(s string) bool { return decoder.IsName(s, 64) }

func isTimeout(s string) bool {
	d, err := time.ParseDuration(s)
	return err == nil && d >= time.Millisecond && d <= 10*time.Minute
}

func isQuota(s string) bool {
	n, err := strconv.Atoi(s)
	return err == nil && n >= 0 && n <= 100_000_000
}

// askFlags are the flags of `bronzedrift ask`.
type askFlags struct {
	applyFlags
	answers string
	yes     bool
}

// newAskCommand prompts for a new team's properties and applies the resulting
// configuration change.
func newAskCommand() *cobra.Command {
	f := &askFlags{}
	c := &cobra.Command{
		Use:   "ask",
		Short: "Add a team interactively: ask for its properties, show the difference and apply it",
		Example: `  bronzedrift ask --operators 127.0.0.1:7101
  bronzedrift ask --operators 127.0.0.1:7101 --answers team.jsonc --yes`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	f.addFlags(c)
	c.Flags().StringVar(&f.answers, "answers", "", "JSON file (comments allowed) with the answers by key; if empty, prompt on the terminal")
	c.Flags().BoolVar(&f.yes, "yes", false, "apply without confirmation")
	c.Flags().StringVar(&f.changeID, "change-id", "", "id of the change, which makes it safe to send again; generated if empty")
	c.Flags().DurationVar(&f.wait, "wait", 0, "how long to wait for every daemon listed in --operators to report the version in force")
	return c
}

func (f *askFlags) run(c *cobra.Command) error {
	input := bufio.NewReader(c.InOrStdin())
	answers, err := f.collectAnswers(c, input)
	if err != nil {
		return err
	}
	current, err := f.readConfig(c.Context(), "")
	if err != nil {
		return err
	}
	text, err := addTeam([]byte(current.Config), answers)
	if err != nil {
		return err
	}
	printDifference(c, current.Config, string(text))
	if !f.yes && !f.confirm(c, input) {
		return &ExitError{ExitFailure, "nothing was changed"}
	}
	f.baseVersion = current.Version
	return f.apply(c, text)
}

func (f *askFlags) collectAnswers(c *cobra.Command, input *bufio.Reader) (map[string]string, error) {
	if f.answers != "" {
		return readAnswers(f.answers)
	}
	answers := map[string]string{}
	for _, q := range questions {
		for {
			_, _ = fmt.Fprintf(c.OutOrStdout(), "%s [%s]: ", q.prompt, q.defaultAnswer)
			line, err := input.ReadString('\n')
			answer := strings.TrimSpace(line)
			if answer == "" {
				answer = q.defaultAnswer
			}
			if q.isValid(answer) {
				answers[q.key] = answer
				break
			}
			if err != nil {
				return nil, &loader.SettingError{File: "answers", Key: q.key, Fault: "must be " + q.allowed}
			}
			_, _ = fmt.Fprintf(c.OutOrStdout(), "%s must be %s.\n", q.key, q.allowed)
		}
	}
	return answers, nil
}

// readAnswers reads and checks a file of answers.
func readAnswers(file string) (map[string]string, error) {
	text, err := readInput(file)
	if err != nil {
		return nil, &loader.SettingError{File: file, Fault: err.Error()}
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return nil, &loader.SettingError{File: file, Fault: "is no JSON with comments: " + err.Error()}
	}
	given := map[string]json.RawMessage{}
	if err := json.Unmarshal(standard, &given); err != nil {
		return nil, &loader.SettingError{File: file, Fault: "must be an object"}
	}
	answers := map[string]string{}
	for _, q := range questions {
		answer := strings.Trim(string(given[q.key]), `"`)
		if answer == "" {
			answer = q.defaultAnswer
		}
		if !q.isValid(answer) {
			return nil, &loader.SettingError{File: file, Key: q.key, Fault: "must be " + q.allowed}
		}
		answers[q.key] = answer
		delete(given, q.key)
	}
	for key := range given {
		return nil, &loader.SettingError{File: file, Key: key, Fault: "is not known"}
	}
	return answers, nil
}

// addTeam returns the configuration with the team of the answers added, and its
// service if that is not configured yet.
func addTeam(current []byte, answers map[string]string) ([]byte, error) {
	config := &loader.Configuration{}
	if len(current) > 0 {
		var err error
		if config, err = loader.ParseConfiguration("configuration", current); err != nil {
			return nil, err
		}
	}
	for _, t := range config.Teams {
		if t.Name == answers["team"] {
			return nil, &loader.SettingError{File: "answers", Key: "team", Fault: fmt.Sprintf("%q is configured already", t.Name)}
		}
	}
	inFlight, _ := strconv.Atoi(answers["tasks-in-flight"])
	startsPerSecond, _ := strconv.ParseFloat(answers["starts-per-second"], 64)
	timeout, _ := time.ParseDuration(answers["timeout"])
	config.Teams = append(config.Teams, dispatcher.Team{Name: answers["team"], TasksInFlight: inFlight, StartsPerSecond: startsPerSecond})
	serviceExists := false
	for _, s := range config.Services {
		serviceExists = serviceExists || s.Name == answers["service"]
	}
	if !serviceExists {
		config.Services = append(config.Services, dispatcher.Service{Name: answers["service"], Timeout: timeout})
	}
	return loader.FormatConfiguration(config), nil
}

// printDifference prints the lines that a change removes and adds. Lines that
// only moved are not shown.
func printDifference(c *cobra.Command, before, after string) {
	unmatched := map[string]int{}
	for _, line := range strings.Split(before, "\n") {
		unmatched[line]++
	}
	var added bytes.Buffer
	for _, line := range strings.Split(after, "\n") {
		if unmatched[line] > 0 {
			unmatched[line]--
			continue
		}
		_, _ = fmt.Fprintln(&added, "+", line)
	}
	for _, line := range strings.Split(before, "\n") {
		if unmatched[line] > 0 {
			unmatched[line]--
			_, _ = fmt.Fprintln(c.OutOrStdout(), "-", line)
		}
	}
	_, _ = fmt.Fprint(c.OutOrStdout(), added.String())
}

func (f *askFlags) confirm(c *cobra.Command, input *bufio.Reader) bool {
	_, _ = fmt.Fprint(c.OutOrStdout(), "Apply this change? [y/N]: ")
	line, _ := input.ReadString('\n')
	return strings.EqualFold(strings.TrimSpace(line), "y")
}
