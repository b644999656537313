// Command xds-standin is a control plane to rehearse with: it serves xDS on loopback as a script says,
// and writes down every request that it gets. It is for tests and rehearsals only.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"cobaltward/discovery/xds/standin"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "xds-standin:", err)
		os.Exit(1)
	}
}

type options struct{ listen, requests, cert, key string }

func command() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "xds-standin SCRIPT",
		Short: "Serve xDS on loopback as a script says",
		Long: `Serve the Aggregated Discovery Service, both variants, on loopback as SCRIPT says (- for standard
input; docs/xds.md has its words). The address is the first line of the output. After the last step it
serves on until interrupted; the exit status is 1 where an expectation of the script is not met.`,
		Args:         cobra.ExactArgs(1),
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, args []string) error { return run(c.Context(), o, args[0], c.OutOrStdout()) },
	}
	c.Flags().StringVar(&o.listen, "listen", "127.0.0.1:0", "the address, on loopback")
	c.Flags().StringVar(&o.requests, "requests", "", "a file for the requests that come, a JSON object a line")
	c.Flags().StringVar(&o.cert, "cert", "", "PEM certificate, to serve TLS")
	c.Flags().StringVar(&o.key, "key", "", "PEM key of --cert")
	return c
}

func run(ctx context.Context, o options, path string, out io.Writer) (err error) {
	at, err := net.ResolveTCPAddr("tcp", o.listen)
	if err != nil || !at.IP.IsLoopback() {
		return fmt.Errorf("--listen: want an address on loopback, got %q", o.listen)
	}
	in := os.Stdin
	if path != "-" {
		if in, err = os.Open(path); err != nil {
			return err
		}
		defer in.Close()
	}
	script, err := standin.ParseScript(in)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	var server []grpc.ServerOption
	if o.cert != "" || o.key != "" {
		creds, err := credentials.NewServerTLSFromFile(o.cert, o.key)
		if err != nil {
			return fmt.Errorf("--cert, --key: %w", err)
		}
		server = append(server, grpc.Creds(creds))
	}
	p, err := standin.Start(o.listen, server...)
	if err != nil {
		return err
	}
	defer p.Stop()
	if o.requests != "" {
		f, err := os.Create(o.requests)
		if err != nil {
			return err
		}
		w := bufio.NewWriter(f)
		lines := json.NewEncoder(w)
		p.OnRequest(func(s standin.RecordedRequest) { _ = lines.Encode(s) }) // a failure is kept until Flush
		defer func() {
			p.Stop()
			err = errors.Join(err, w.Flush(), f.Close())
		}()
	}
	fmt.Fprintln(out, "listening", p.Addr)
	if err := script.Run(ctx, p, out); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintln(out, "done")
	<-ctx.Done()
	return nil
}
