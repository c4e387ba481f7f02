package commander

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"bronzedrift.example/bronzedrift/internal/reporter"
)

func newVMCommand() *cobra.Command {
	c := &cobra.Command{Use: "vm", Short: "Manage the state VMs that replicate the configuration"}
	c.AddCommand(newVMBootstrapCommand(), newVMAddCommand(), newVMRemoveCommand(), newVMReplaceCommand())
	return c
}

func newVMBootstrapCommand() *cobra.Command {
	o := &operatorsClient{}
	c := &cobra.Command{
		Use:     "bootstrap",
		Short:   "Initialize the group on one state VM; the other state VMs join automatically",
		Example: "  bronzedrift vm bootstrap --operators 127.0.0.1:7101",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.parse(); err != nil {
				return err
			}
			return o.do(c.Context(), http.MethodPost, o.addresses[0], "/v1/state/bootstrap", nil)
		},
	}
	o.addFlags(c)
	return c
}

func newVMRemoveCommand() *cobra.Command {
	o := &operatorsClient{}
	c := &cobra.Command{
		Use:   "remove VM",
		Short: "Remove a VM from the group; refused if that would lose the quorum",
		Long: "Remove a VM from the group; refused if that would lose the quorum.\n" +
			"To replace a lost disk, remove the VM and start it with an empty data folder: it joins as a new member.",
		Example: "  bronzedrift vm remove vukovar-b-1 --operators 127.0.0.1:7101",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := o.parse(); err != nil {
				return err
			}
			return o.do(c.Context(), http.MethodDelete, o.addresses[0], "/v1/state/vms/"+args[0], nil)
		},
	}
	o.addFlags(c)
	return c
}

const defaultJoinWait = time.Minute

// newVMAddCommand waits until a started state VM is a voter.
func newVMAddCommand() *cobra.Command {
	o := &operatorsClient{}
	var wait time.Duration
	c := &cobra.Command{
		Use:   "add VM",
		Short: "Wait until a started state VM has joined the group as a voter",
		Long: "Wait until a started state VM has joined the group as a voter. A VM that the settings list with the\n" +
			"role state joins automatically when it starts with an empty data folder: first as a learner, then as a voter.",
		Example: "  bronzedrift vm add pozega-c-1 --operators 127.0.0.1:7101",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := o.parse(); err != nil {
				return err
			}
			return o.awaitVoter(c, args[0], "", wait)
		},
	}
	o.addFlags(c)
	c.Flags().DurationVar(&wait, "wait", defaultJoinWait, "how long to wait")
	return c
}

// newVMReplaceCommand removes the member of a VM whose disk was lost and waits
// until the VM has joined again as a new member.
func newVMReplaceCommand() *cobra.Command {
	o := &operatorsClient{}
	var wait time.Duration
	c := &cobra.Command{
		Use:     "replace VM",
		Short:   "Remove a VM whose disk was lost and wait until it has rejoined with an empty data folder",
		Example: "  bronzedrift vm replace vukovar-b-1 --operators 127.0.0.1:7101",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := o.parse(); err != nil {
				return err
			}
			lost, err := o.findMember(c.Context(), args[0])
			if err != nil {
				return err
			}
			if err := o.do(c.Context(), http.MethodDelete, o.addresses[0], "/v1/state/vms/"+args[0], nil); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(c.OutOrStdout(), "removed %s; start %s with an empty data folder\n", lost.ID, args[0])
			return o.awaitVoter(c, args[0], lost.ID, wait)
		},
	}
	o.addFlags(c)
	c.Flags().DurationVar(&wait, "wait", defaultJoinWait, "how long to wait for the VM to rejoin")
	return c
}

// findMember asks the first daemon for the member that runs on a VM. It returns
// the zero Member if there is none.
func (o *operatorsClient) findMember(ctx context.Context, vm string) (reporter.Member, error) {
	var s reporter.Status
	if err := o.do(ctx, http.MethodGet, o.addresses[0], "/v1/status", &s); err != nil {
		return reporter.Member{}, err
	}
	if s.State == nil {
		return reporter.Member{}, &ExitError{ExitFailure, "the first daemon in --operators does not have the role state"}
	}
	for _, m := range s.State.Members {
		if m.VM == vm {
			return m, nil
		}
	}
	return reporter.Member{}, nil
}

// awaitVoter waits until a VM is a voter under another member id than lostID.
func (o *operatorsClient) awaitVoter(c *cobra.Command, vm, lostID string, wait time.Duration) error {
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); time.Sleep(pollInterval) {
		m, err := o.findMember(c.Context(), vm)
		if err != nil {
			return err
		}
		if m.Voter && m.ID != lostID {
			_, _ = fmt.Fprintf(c.OutOrStdout(), "%s is a voter\n", m.ID)
			return nil
		}
	}
	return &ExitError{ExitFailure, fmt.Sprintf("%s has not joined as a voter within %s", vm, wait)}
}
