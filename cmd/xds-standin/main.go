// Command xds-standin is a scripted control plane for tests and rehearsals. It serves xDS on the loopback interface,
// and can record every received request in a file.
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

// options contains the values of the command's flags.
type options struct{ listen, requests, cert, key string }

func command() *cobra.Command {
	var opts options
	root := &cobra.Command{
		Use:   "xds-standin SCRIPT",
		Short: "Serve xDS on loopback as described by a script",
		Long: `Serve both variants of the Aggregated Discovery Service on loopback as described by SCRIPT (- for
standard input; docs/xds.md describes the steps). The first line of the output contains the address.
After the last step, it keeps serving until interrupted. The exit status is 1 if an expectation of the
script is not met.`,
		Args:         cobra.ExactArgs(1),
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			return run(cmd.Context(), opts, args[0], cmd.OutOrStdout())
		},
	}
	root.Flags().StringVar(&opts.listen, "listen", "127.0.0.1:0", "the address to listen on, on loopback")
	root.Flags().StringVar(&opts.requests, "requests", "", "a file for the received requests, one JSON object per line")
	root.Flags().StringVar(&opts.cert, "cert", "", "PEM certificate file, to serve TLS")
	root.Flags().StringVar(&opts.key, "key", "", "PEM key file of --cert")
	return root
}

// run executes the script at path and keeps serving until ctx ends. It returns an error if an expectation is not met.
func run(ctx context.Context, opts options, path string, out io.Writer) (err error) {
	addr, err := net.ResolveTCPAddr("tcp", opts.listen)
	if err != nil || !addr.IP.IsLoopback() {
		return fmt.Errorf("--listen: want an address on loopback, got %q", opts.listen)
	}
	script, err := loadScript(path)
	if err != nil {
		return err
	}
	serverOptions, err := opts.serverOptions()
	if err != nil {
		return err
	}
	controlPlane, err := standin.Start(opts.listen, serverOptions...)
	if err != nil {
		return err
	}
	defer controlPlane.Stop()
	if opts.requests != "" {
		finish, err := recordRequests(controlPlane, opts.requests)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, finish()) }()
	}
	if _, err := fmt.Fprintln(out, "listening", controlPlane.Addr); err != nil {
		return err
	}
	if err := script.Run(ctx, controlPlane, out); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return fmt.Errorf("%s: %w", path, err)
	}
	if _, err := fmt.Fprintln(out, "done"); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// loadScript parses the script at path, or from standard input if path is "-".
func loadScript(path string) (*standin.Script, error) {
	in := os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	script, err := standin.ParseScript(in)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return script, nil
}

// serverOptions returns the gRPC option for TLS if the flags name a certificate.
func (o options) serverOptions() ([]grpc.ServerOption, error) {
	if o.cert == "" && o.key == "" {
		return nil, nil
	}
	creds, err := credentials.NewServerTLSFromFile(o.cert, o.key)
	if err != nil {
		return nil, fmt.Errorf("--cert, --key: %w", err)
	}
	return []grpc.ServerOption{grpc.Creds(creds)}, nil
}

// recordRequests writes every received request to the file at path, as JSON. finish stops the control plane, flushes
// the buffered requests and closes the file.
func recordRequests(controlPlane *standin.ControlPlane, path string) (finish func() error, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	w := bufio.NewWriter(file)
	lines := json.NewEncoder(w)
	controlPlane.OnRequest(func(request standin.RecordedRequest) {
		_ = lines.Encode(request) // w keeps the first write error, and Flush returns it
	})
	return func() error {
		controlPlane.Stop()
		return errors.Join(w.Flush(), file.Close())
	}, nil
}
