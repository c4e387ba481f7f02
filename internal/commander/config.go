package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"bronzedrift.example/bronzedrift/internal/loader"
	"bronzedrift.example/bronzedrift/internal/reporter"
)

// configJSON is the response body of /v1/config.
type configJSON struct {
	Outcome string `json:"outcome"`
	Version uint64 `json:"version"`
	Config  string `json:"config"`
	Message string `json:"message"`
	History []struct {
		Version uint64 `json:"version"`
		Config  string `json:"config"`
	} `json:"history"`
}

func newConfigCommand(forms []Form) *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Show and check the configuration"}
	c.AddCommand(newConfigShowCommand(), newConfigHistoryCommand(), newConfigDiffCommand(), newConfigCheckCommand(forms))
	return c
}

func newConfigShowCommand() *cobra.Command {
	o := &operatorsClient{}
	c := &cobra.Command{
		Use:     "show",
		Short:   "Show the latest configuration and its version",
		Example: "  bronzedrift config show --operators 127.0.0.1:7101",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := o.readConfig(c.Context(), "")
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(c.OutOrStdout(), "// version %d\n%s\n", config.Version, strings.TrimSpace(config.Config))
			return nil
		},
	}
	o.addFlags(c)
	return c
}

func newConfigHistoryCommand() *cobra.Command {
	o := &operatorsClient{}
	c := &cobra.Command{
		Use:     "history",
		Short:   "List the latest versions",
		Example: "  bronzedrift config history --operators 127.0.0.1:7101",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := o.readConfig(c.Context(), "?history=true")
			if err != nil {
				return err
			}
			for _, h := range config.History {
				_, _ = fmt.Fprintf(c.OutOrStdout(), "// version %d\n%s\n", h.Version, strings.TrimSpace(h.Config))
			}
			return nil
		},
	}
	o.addFlags(c)
	return c
}

func newConfigDiffCommand() *cobra.Command {
	o := &operatorsClient{}
	var from, to uint64
	c := &cobra.Command{
		Use:     "diff",
		Short:   "Show the lines that differ between two versions",
		Example: "  bronzedrift config diff --from 3 --to 4 --operators 127.0.0.1:7101",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := o.readConfig(c.Context(), "?history=true")
			if err != nil {
				return err
			}
			texts := map[uint64]string{0: ""}
			for _, h := range config.History {
				texts[h.Version] = h.Config
			}
			for _, v := range []uint64{from, to} {
				if _, ok := texts[v]; !ok {
					return &ExitError{ExitFailure, fmt.Sprintf("version %d is not in the history", v)}
				}
			}
			printDifference(c, texts[from], texts[to])
			return nil
		},
	}
	o.addFlags(c)
	c.Flags().Uint64Var(&from, "from", 0, "the earlier version")
	c.Flags().Uint64Var(&to, "to", 0, "the later version")
	_ = c.MarkFlagRequired("to")
	return c
}

func (o *operatorsClient) readConfig(ctx context.Context, query string) (*configJSON, error) {
	if err := o.parse(); err != nil {
		return nil, err
	}
	config := &configJSON{}
	return config, o.do(ctx, http.MethodGet, o.addresses[0], "/v1/config"+query, config)
}

// applyFlags are the flags of `bronzedrift apply`.
type applyFlags struct {
	operatorsClient
	baseVersion uint64
	changeID    string
	wait        time.Duration
}

func newApplyCommand() *cobra.Command {
	f := &applyFlags{}
	c := &cobra.Command{
		Use:     "apply FILE",
		Short:   "Replace the configuration, based on a given version",
		Example: "  bronzedrift apply config.jsonc --operators 127.0.0.1:7101,127.0.0.1:7201 --base-version 3 --wait 19s",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := readInput(args[0])
			if err != nil {
				return &loader.SettingError{File: args[0], Fault: err.Error()}
			}
			if _, err := loader.ParseConfiguration(args[0], text); err != nil {
				return err
			}
			return f.apply(c, text)
		},
	}
	f.addFlags(c)
	c.Flags().Uint64Var(&f.baseVersion, "base-version", 0, "version that the change is based on")
	c.Flags().StringVar(&f.changeID, "change-id", "", "id of the change, which makes it safe to send again; generated if empty")
	c.Flags().DurationVar(&f.wait, "wait", 0, "how long to wait for every daemon listed in --operators to report the version in force")
	_ = c.MarkFlagRequired("base-version")
	return c
}

func (f *applyFlags) apply(c *cobra.Command, text []byte) error {
	if err := f.parse(); err != nil {
		return err
	}
	if f.changeID == "" {
		f.changeID = uuid.NewString()
	}
	response, status, err := f.putConfig(c.Context(), text)
	resendHint := "send it again with --change-id " + f.changeID
	switch {
	case err != nil:
		return &ExitError{ExitOutcomeUnknown, "the outcome is unknown: " + err.Error() + "; " + resendHint}
	case status == http.StatusOK:
		_, _ = fmt.Fprintf(c.OutOrStdout(), "accepted: version %d\n", response.Version)
		return f.awaitVersion(c, response.Version)
	case response.Outcome == "conflict":
		_, _ = fmt.Fprintf(c.OutOrStdout(), "%s\n", strings.TrimSpace(response.Config))
		return &ExitError{ExitConflict, fmt.Sprintf("conflict: version %d was accepted first; its text is printed above", response.Version)}
	case response.Outcome == "refused":
		return &ExitError{ExitInvalidInput, "refused: " + response.Message}
	}
	return &ExitError{ExitOutcomeUnknown, response.Message + "; " + resendHint}
}

func (f *applyFlags) putConfig(ctx context.Context, text []byte) (*configJSON, int, error) {
	q := url.Values{"base-version": {strconv.FormatUint(f.baseVersion, 10)}, "change-id": {f.changeID}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut,
		"http://"+f.addresses[0].String()+"/v1/config?"+q.Encode(), bytes.NewReader(text))
	if err != nil {
		return nil, 0, fmt.Errorf("commander: %w", err)
	}
	if err := f.authorize(req); err != nil {
		return nil, 0, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("commander: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, 0, fmt.Errorf("commander: %w", err)
	}
	response := &configJSON{}
	if err := json.Unmarshal(body, response); err != nil {
		return nil, 0, fmt.Errorf("commander: %s returned status %d: %s", f.addresses[0], res.StatusCode, body)
	}
	return response, res.StatusCode, nil
}

const pollInterval = 50 * time.Millisecond

// awaitVersion waits until the version is in force on every daemon. On timeout
// the error lists the daemons on which it is not.
func (f *applyFlags) awaitVersion(c *cobra.Command, version uint64) error {
	if f.wait == 0 {
		return nil
	}
	deadline := time.Now().Add(f.wait)
	for {
		lagging := f.laggingDaemons(c.Context(), version)
		if len(lagging) == 0 {
			_, _ = fmt.Fprintf(c.OutOrStdout(), "in force on %d daemons\n", len(f.addresses))
			return nil
		}
		if time.Now().After(deadline) {
			return &ExitError{ExitFailure, fmt.Sprintf("accepted, but not yet in force on %v", lagging)}
		}
		time.Sleep(pollInterval)
	}
}

func (f *applyFlags) laggingDaemons(ctx context.Context, version uint64) []netip.AddrPort {
	var lagging []netip.AddrPort
	for _, a := range f.addresses {
		var s reporter.Status
		if err := f.do(ctx, http.MethodGet, a, "/v1/status", &s); err != nil || s.Version < version {
			lagging = append(lagging, a)
		}
	}
	return lagging
}
