package fleetcli

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
	"cobaltward/fleet/consensus"
)

func (c *operatorCommands) membershipCommand() *cobra.Command {
	command := &cobra.Command{Use: "member", Short: "Change the membership, one member at a time"}
	command.AddCommand(
		c.clientCommand("add NAME ADDRESS", "Add the member that runs at an address; it votes once it has caught up",
			cobra.ExactArgs(2), c.addMember),
		c.clientCommand("remove NAME", "Remove a member, by its name or its id", cobra.ExactArgs(1), c.removeMember),
	)
	return command
}

func (c *operatorCommands) addMember(client *agent.Client, args []string) error {
	name, address := args[0], args[1]
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var status consensus.Status
	if err := client.Call(ctx, http.MethodGet, address, "/status", nil, &status); err != nil {
		return exitError{fmt.Errorf("member add: the new member must be running: %w", err), exitUnavailable}
	}
	if status.Name != name {
		return fmt.Errorf("member add: the process at %s is %q, want %q", address, status.Name, name)
	}
	return c.changeMembership(client, consensus.MembershipRequest{Name: name, Address: address, ID: status.ID})
}

func (c *operatorCommands) removeMember(client *agent.Client, args []string) error {
	return c.changeMembership(client, consensus.MembershipRequest{Name: args[0], Remove: true})
}

// changeMembership sends request to one replica after another until a replica accepts or rejects it.
func (c *operatorCommands) changeMembership(client *agent.Client, request consensus.MembershipRequest) error {
	var lastErr error
	for _, address := range client.Replicas {
		position, err := requestMembership(client, address, request)
		switch {
		case err == nil:
			return c.printResult(fleet.Result{Position: position})
		case errors.Is(err, agent.ErrRejected):
			return exitError{err, exitRejected}
		}
		lastErr = err
	}
	return exitError{lastErr, exitUnavailable}
}

func requestMembership(
	client *agent.Client, address string, request consensus.MembershipRequest,
) (fleet.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var response consensus.ProposeResponse
	err := client.Call(ctx, http.MethodPost, address, "/member", request, &response)
	return response.Position, err
}
