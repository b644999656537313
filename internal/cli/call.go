package cli

import (
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/client"
	"cobaltward/msgpackrpc/mux"

	"github.com/spf13/cobra"
)

// exitStatusError is one that scripts go by.
type exitStatusError int

// The statuses of a call that was not served.
const (
	harmless exitStatusError = 2 // it has not run: trying again is harmless
	unsure   exitStatusError = 3 // it may have run
)

func (s exitStatusError) Error() string {
	if s == harmless {
		return "not served; it has not run"
	}
	return "not served; it may have run"
}

// callCommand calls a node by MessagePack-RPC.
func callCommand() *cobra.Command {
	var q msgpackrpc.Call
	var body string
	c := &cobra.Command{
		Use:   "call ADDRESS",
		Short: "Make one call to a node by MessagePack-RPC",
		Long: `Make one call to the node at ADDRESS (host:port, or the path of a Unix socket) by MessagePack-RPC, and
print the body that comes back. The exit status is 0 if it was served, 2 if it has not run and trying
again is harmless, 3 if it may have run, and 1 if it could not be made. It is never repeated.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			network := "tcp"
			if strings.HasPrefix(args[0], "/") {
				network = "unix"
			}
			if q.ID == "" {
				q.ID = rand.Text()
			}
			q.Body = []byte(body)
			if name, ok := strings.CutPrefix(body, "@"); ok {
				var err error
				if q.Body, err = os.ReadFile(name); err != nil {
					return err
				}
			}
			to := client.New(network, args[0])
			defer to.Close()
			reply, err := to.Call(c.Context(), q)
			var notSent *mux.NotSentError
			switch {
			case errors.As(err, &notSent):
				return fmt.Errorf("%w: %w", harmless, err)
			case err != nil:
				return fmt.Errorf("%w: %w", unsure, err)
			}
			switch reply.Code {
			case "":
				_, err := c.OutOrStdout().Write(append(reply.Body, '\n'))
				return err
			case msgpackrpc.Rejected, msgpackrpc.Overloaded, msgpackrpc.NotRun:
				return fmt.Errorf("%w: %s %s (come back in %v)", harmless, reply.Code, reply.Text, reply.RetryAfter)
			case msgpackrpc.Malformed:
				return fmt.Errorf("call: %s: %s", reply.Code, reply.Text)
			}
			return fmt.Errorf("%w: %s %s", unsure, reply.Code, reply.Text)
		},
	}
	f := c.Flags()
	f.StringVar(&q.ID, "id", "", "the request's id; else a new one")
	f.StringVar(&q.Class, "class", "", "the request's class")
	f.StringVar(&q.Tenant, "tenant", "", "the workspace")
	f.StringVar(&q.Key, "key", "", "what the request is about")
	f.StringVar(&q.IdempotencyKey, "idempotency-key", "", "of a keyed class")
	f.StringVar(&q.Target, "target", "/", "path and query")
	f.StringVar(&q.ContentType, "content-type", "", "of the body")
	f.StringVar(&body, "body", "", "the body, or @FILE")
	f.DurationVar(&q.Timeout, "wait", 5*time.Second, "how long to wait")
	_ = c.MarkFlagRequired("class") // fails only for a flag that is not there
	return c
}
