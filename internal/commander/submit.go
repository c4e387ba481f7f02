package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"bronzedrift.example/bronzedrift/pkg/caller"
)

// submitFlags are the flags of `bronzedrift submit`.
type submitFlags struct {
	entries     string
	team        string
	service     string
	home        string
	jobID       string
	submittedAt string
	file        string
	payload     string
	tasks       int
	repeatable  bool
	timeout     time.Duration
	expected    time.Duration
}

// submitMargin is added to the job's timeout to let the answer arrive.
const submitMargin = time.Second

func newSubmitCommand() *cobra.Command {
	f := &submitFlags{}
	c := &cobra.Command{
		Use:   "submit",
		Short: "Submit a job and print the answer",
		Example: `  bronzedrift submit --entries 127.0.0.1:7101 --team presa-dijeli --service booking --payload '{"run-time":"200ms"}'
  bronzedrift submit --entries 127.0.0.1:7101 --file job.json`,
		Args: cobra.NoArgs,
		RunE: f.run,
	}
	fs := c.Flags()
	fs.StringVar(&f.entries, "entries", "", "comma-separated addresses of entries")
	fs.StringVar(&f.team, "team", "", "team of the job")
	fs.StringVar(&f.service, "service", "", "service of the job")
	fs.StringVar(&f.home, "home", "", "home data centre")
	fs.StringVar(&f.jobID, "job-id", "", "id of the job; generated if empty")
	fs.StringVar(&f.submittedAt, "submitted-at", "", "RFC 3339 time of the first submission; required if --job-id is not a UUIDv7")
	fs.StringVar(&f.file, "file", "", "file with a JSON list of payloads, - for standard input")
	fs.StringVar(&f.payload, "payload", "null", "JSON payload of each task")
	fs.IntVar(&f.tasks, "tasks", 1, "number of tasks with this payload")
	fs.BoolVar(&f.repeatable, "repeatable", false, "allow a task to run again if its outcome is unknown")
	fs.DurationVar(&f.timeout, "timeout", 10*time.Second, "timeout of the job")
	fs.DurationVar(&f.expected, "expected-run-time", 0, "expected run time of each task")
	_ = c.MarkFlagRequired("entries")
	_ = c.MarkFlagRequired("team")
	_ = c.MarkFlagRequired("service")
	return c
}

func (f *submitFlags) run(c *cobra.Command, _ []string) error {
	entries, err := parseAddresses(f.entries)
	if err != nil {
		return err
	}
	job, err := f.buildJob()
	if err != nil {
		return err
	}
	client := caller.New(caller.Config{Entries: entries})
	defer client.Close()
	ctx, cancel := context.WithTimeout(c.Context(), f.timeout+submitMargin)
	defer cancel()
	a, err := client.Submit(ctx, job)
	if err != nil {
		return &ExitError{ExitOutcomeUnknown, err.Error() + "; submit it again with the same --job-id"}
	}
	return printAnswer(c, a)
}

func (f *submitFlags) buildJob() (caller.Job, error) {
	j := caller.Job{
		ID: f.jobID, Team: f.team, Service: f.service, Home: f.home, Repeatable: f.repeatable, Timeout: f.timeout,
	}
	if f.submittedAt != "" {
		at, err := time.Parse(time.RFC3339Nano, f.submittedAt)
		if err != nil {
			return j, &ExitError{ExitInvalidInput, "--submitted-at: must be an RFC 3339 time"}
		}
		j.SubmittedAt = at
	}
	payloads := make([]json.RawMessage, f.tasks)
	for i := range payloads {
		payloads[i] = json.RawMessage(f.payload)
	}
	if f.file != "" {
		text, err := readInput(f.file)
		if err != nil {
			return j, fmt.Errorf("commander: %w", err)
		}
		payloads = nil
		if err := json.Unmarshal(text, &payloads); err != nil {
			return j, &ExitError{ExitInvalidInput, f.file + ": must be a JSON list of payloads: " + err.Error()}
		}
	}
	for _, p := range payloads {
		if !json.Valid(p) {
			return j, &ExitError{ExitInvalidInput, "--payload: must be JSON"}
		}
		j.Tasks = append(j.Tasks, caller.Task{Payload: p, ExpectedRunTime: f.expected})
	}
	return j, nil
}

// answerJSON is the printed form of an answer.
type answerJSON struct {
	JobID   string            `json:"job-id"`
	Home    string            `json:"home"`
	Outcome string            `json:"outcome"`
	Ran     string            `json:"ran"`
	Reason  string            `json:"reason,omitempty"`
	Message string            `json:"message,omitempty"`
	Results []json.RawMessage `json:"results,omitempty"`
}

func printAnswer(c *cobra.Command, a *caller.Answer) error {
	err := printJSON(c, answerJSON{
		JobID: a.JobID, Home: a.Home, Outcome: a.Outcome, Ran: a.Ran,
		Reason: a.Reason, Message: a.Message, Results: a.Results,
	})
	switch {
	case err != nil:
		return err
	case a.Outcome != "failed":
		return nil
	case a.Ran == "not-run":
		return &ExitError{ExitNotRun, "the job did not run: " + a.Message}
	case a.Ran == "unknown":
		return &ExitError{ExitOutcomeUnknown, "the outcome is unknown: " + a.Message}
	}
	return &ExitError{ExitFailure, "the job failed: " + a.Message}
}

func newCancelCommand() *cobra.Command {
	var entryList string
	c := &cobra.Command{
		Use:     "cancel JOB-ID",
		Short:   "Cancel a job and print how much of it had run",
		Example: "  bronzedrift cancel --entries 127.0.0.1:7101 0198c0de-0000-7000-8000-000000000001",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			entries, err := parseAddresses(entryList)
			if err != nil {
				return err
			}
			return cancelJob(c, entries, args[0])
		},
	}
	c.Flags().StringVar(&entryList, "entries", "", "comma-separated addresses of entries")
	_ = c.MarkFlagRequired("entries")
	return c
}

func cancelJob(c *cobra.Command, entries []netip.AddrPort, jobID string) error {
	client := caller.New(caller.Config{Entries: entries})
	defer client.Close()
	a, err := client.Cancel(c.Context(), jobID)
	if err != nil {
		return &ExitError{ExitOutcomeUnknown, err.Error()}
	}
	err = printAnswer(c, a)
	var exit *ExitError
	if errors.As(err, &exit) && a.Reason == "cancelled" {
		return nil
	}
	return err
}
