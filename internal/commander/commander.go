// Package commander implements the operators' command line.
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
	ExitOK             = 0
	ExitFailure        = 1
	ExitInvalidInput   = 2
	ExitNotRun         = 3
	ExitOutcomeUnknown = 4
	ExitConflict       = 5
	ExitFindings       = 6
)

// ExitError is an error that sets the exit code of the process.
type ExitError struct {
	Code int
	Text string
}

// Error implements the error interface.
func (e *ExitError) Error() string { return e.Text }

// ExitCode returns the exit code for the error that a command returned.
func ExitCode(err error) int {
	var exit *ExitError
	var settingErr *loader.SettingError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.Code
	case errors.As(err, &settingErr):
		return ExitInvalidInput
	}
	return ExitFailure
}

// New returns the root command with all subcommands. The forms are those that `config
// check` accepts besides the project's own.
func New(forms ...Form) *cobra.Command {
	root := &cobra.Command{
		Use:           "bronzedrift",
		Short:         "Operate bronzedrift, a dispatcher for sub-second tasks",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newCheckCommand(), newDemoCommand(), newSubmitCommand(), newCancelCommand(),
		newStatusCommand(), newUpstreamsCommand(), newTimelineCommand(), newDrainCommand(),
		newAskCommand(), newConfigCommand(forms), newApplyCommand(), newVMCommand(), newExplainCommand(),
		newEvacuateCommand(),
	)
	return root
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check settings files; the exit code is 2 if one is invalid",
		Example: "  bronzedrift check configs/presa-dijeli/osijek-a-1.jsonc",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var errs error
			for _, file := range files {
				if _, err := loader.Load(file); err != nil {
					errs = errors.Join(errs, err)
					continue
				}
				_, _ = fmt.Fprintln(c.OutOrStdout(), file+": ok")
			}
			return errs
		},
	}
}

// operatorsClient calls the daemons' operators' interface.
type operatorsClient struct {
	addresses   []netip.AddrPort
	tokenFile   string
	addressList string
}

const requestTimeout = 6 * time.Second

func (o *operatorsClient) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&o.addressList, "operators", "", "comma-separated operators' addresses of the daemons")
	c.Flags().StringVar(&o.tokenFile, "token-file", "", "file that contains the operators' token")
	_ = c.MarkFlagRequired("operators")
}

func (o *operatorsClient) parse() error {
	addresses, err := parseAddresses(o.addressList)
	o.addresses = addresses
	return err
}

func (o *operatorsClient) do(ctx context.Context, method string, a netip.AddrPort, path string, response any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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
		return fmt.Errorf("commander: %s returned status %d: %s", a, res.StatusCode, strings.TrimSpace(string(text)))
	}
	if response == nil {
		return nil
	}
	if err := json.NewDecoder(res.Body).Decode(response); err != nil {
		return fmt.Errorf("commander: response of %s: %w", a, err)
	}
	return nil
}

func (o *operatorsClient) authorize(req *http.Request) error {
	token, err := loader.ReadSecret(o.tokenFile)
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
			return nil, &ExitError{ExitFailure, fmt.Sprintf("%q is not an IP address and port", s)}
		}
		addresses = append(addresses, a)
	}
	return addresses, nil
}

func newDrainCommand() *cobra.Command {
	o := &operatorsClient{}
	c := &cobra.Command{
		Use:     "drain",
		Short:   "Stop daemons gracefully: refuse new jobs and finish those in flight",
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
