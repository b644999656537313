package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/client"
	"cobaltward/msgpackrpc/mux"

	"github.com/spf13/cobra"
)

const defaultCallTimeout = 5 * time.Second // default of --wait

// callCommand returns the command that makes one MessagePack-RPC call to a node.
func callCommand() *cobra.Command {
	var call msgpackrpc.Call
	var body string
	command := &cobra.Command{
		Use:   "call ADDRESS",
		Short: "Make one call to a node by MessagePack-RPC",
		Long: `Make one call to the node at ADDRESS (host:port, or the path of a Unix socket) by MessagePack-RPC, and
print the body of the answer. The exit status is 0 if it was served, 2 if it was not executed and a retry is
harmless, 3 if it may have been executed, and 1 if it could not be made. It is never retried.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if call.ID == "" {
				call.ID = rand.Text()
			}
			var err error
			if call.Body, err = readBody(body); err != nil {
				return err
			}
			return makeCall(c.Context(), c.OutOrStdout(), args[0], call)
		},
	}
	flags := command.Flags()
	flags.StringVar(&call.ID, "id", "", "the request's id; else a new one")
	flags.StringVar(&call.Class, "class", "", "the request's class")
	flags.StringVar(&call.Tenant, "tenant", "", "the workspace")
	flags.StringVar(&call.Key, "key", "", "what the request is about")
	flags.StringVar(&call.IdempotencyKey, "idempotency-key", "", "of a keyed class")
	flags.StringVar(&call.Target, "target", "/", "path and query")
	flags.StringVar(&call.ContentType, "content-type", "", "of the body")
	flags.StringVar(&body, "body", "", "the body, or @FILE")
	flags.DurationVar(&call.Timeout, "wait", defaultCallTimeout, "how long to wait")
	_ = command.MarkFlagRequired("class") // fails only if the flag is not defined
	return command
}

// readBody returns text, or the content of FILE if text is "@FILE".
func readBody(text string) ([]byte, error) {
	if path, ok := strings.CutPrefix(text, "@"); ok {
		return os.ReadFile(path)
	}
	return []byte(text), nil
}

// makeCall makes a call and prints the body of the reply. The exit status of an error says whether a retry is safe.
func makeCall(ctx context.Context, out io.Writer, address string, call msgpackrpc.Call) error {
	rpc := client.New(networkOf(address), address)
	defer rpc.Close()
	reply, err := rpc.Call(ctx, call)
	var notSent *mux.NotSentError
	switch {
	case errors.As(err, &notSent):
		return fmt.Errorf("%w: %w", errNotRun, err)
	case err != nil:
		return fmt.Errorf("%w: %w", errMayHaveRun, err)
	}
	switch reply.Code {
	case "":
		_, err := out.Write(append(reply.Body, '\n'))
		return err
	case msgpackrpc.Rejected, msgpackrpc.Overloaded, msgpackrpc.NotRun:
		return fmt.Errorf("%w: %s %s (retry after %v)", errNotRun, reply.Code, reply.Text, reply.RetryAfter)
	case msgpackrpc.Malformed:
		return fmt.Errorf("call: %s: %s", reply.Code, reply.Text)
	}
	return fmt.Errorf("%w: %s %s", errMayHaveRun, reply.Code, reply.Text)
}
