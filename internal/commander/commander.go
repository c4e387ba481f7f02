// Package commander is the operators' command line.
package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bronzedrift.example/bronzedrift/internal/loader"
)

// Exit codes; docs/EXIT-CODES.md explains them.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
	ExitNotRun   = 3
	ExitUnknown  = 4
	ExitConflict = 5
)

// ExitError is an error with an exit code of its own.
type ExitError struct {
	Code int
	Text string
}

// Error is part of the error interface.
func (e *ExitError) Error() string { return e.Text }

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var exit *ExitError
	var fault *loader.SettingError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &fault):
		return ExitSettings
	}
	return ExitFailure
}

// New returns the command line.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "bronzedrift",
		Short:         "Operate bronzedrift, a dispatcher for sub-second tasks",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newCheckCommand(), newDemoCommand(), newSubmitCommand(), newCancelCommand(),
		newStatusCommand(), newUpstreamsCommand(), newTimelineCommand(), newDrainCommand(),
		newAskCommand(), newConfigCommand(), newApplyCommand(), newVMCommand(), newExplainCommand(),
	)
	return root
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check settings files; exit code 2 if one is refused",
		Example: "  bronzedrift check configs/presa-dijeli/osijek-a-1.jsonc",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var faults error
			for _, file := range files {
				if _, err := loader.Load(file); err != nil {
					faults = errors.Join(faults, err)
					continue
				}
				_, _ = fmt.Fprintln(c.OutOrStdout(), file+": ok")
			}
			return faults
		},
	}
}

// operators is a client of the operators' interface.
type operators struct {
	addresses []netip.AddrPort
	tokenFile string
	list      string
}

const operatorsTimeout = 6 * time.Second

func (o *operators) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&o.list, "operators", "", "operators' addresses of the daemons, separated by commas")
	c.Flags().StringVar(&o.tokenFile, "token-file", "", "file that holds the operators' token")
	_ = c.MarkFlagRequired("operators")
}

func (o *operators) parse() error {
	addresses, err := parseAddresses(o.list)
	o.addresses = addresses
	return err
}

func (o *operators) do(ctx context.Context, method string, a netip.AddrPort, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.String()+path, nil)
	if err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	if err := o.authorize(req); err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 1<<10))
		return fmt.Errorf("commander: %s answered %d: %s", a, res.StatusCode, strings.TrimSpace(string(text)))
	}
	if v == nil {
		return nil
	}
	if err := json.NewDecoder(res.Body).Decode(v); err != nil {
		return fmt.Errorf("commander: answer of %s: %w", a, err)
	}
	return nil
}

func (o *operators) authorize(req *http.Request) error {
	token, err := loader.Secret(o.tokenFile)
	if err != nil {
		return err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	return nil
}

func parseAddresses(list string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, s := range strings.Split(list, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(s))
		if err != nil {
			return nil, &ExitError{ExitFailure, fmt.Sprintf("%q is no IP number and port", s)}
		}
		addresses = append(addresses, a)
	}
	return addresses, nil
}

func newDrainCommand() *cobra.Command {
	o := &operators{}
	c := &cobra.Command{
		Use:     "drain",
		Short:   "Stop daemons gracefully: no new jobs, those in flight finish",
		Example: "  bronzedrift drain --operators 127.0.0.1:7102",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.parse(); err != nil {
				return err
			}
			for _, a := range o.addresses {
				if err := o.do(c.Context(), http.MethodPost, a, "/v1/drain", nil); err != nil {
					return err
				}
				_, _ = fmt.Fprintln(c.OutOrStdout(), a, "drains")
			}
			return nil
		},
	}
	o.addFlags(c)
	return c
}

func printJSON(c *cobra.Command, v any) error {
	e := json.NewEncoder(c.OutOrStdout())
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("commander: %w", err)
	}
	return nil
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}
