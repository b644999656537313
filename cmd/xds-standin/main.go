// Command xds-standin is a scripted control plane for tests and rehearsals: it serves xDS on loopback and records
// every request that it receives.
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

// options are the command's flags.
type options struct{ listen, requests, cert, key string }

func command() *cobra.Command {
	var opts options
	root := &cobra.Command{
		Use:   "xds-standin SCRIPT",
		Short: "Serve xDS on loopback as a script says",
		Long: `Serve the Aggregated Discovery Service, both variants, on loopback as SCRIPT says (- for standard
input; docs/xds.md has its words). The address is the first line of the output. After the last step it
serves on until interrupted; the exit status is 1 where an expectation of the script is not met.`,
		Args:         cobra.ExactArgs(1),
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			return run(cmd.Context(), opts, args[0], cmd.OutOrStdout())
		},
	}
	root.Flags().StringVar(&opts.listen, "listen", "127.0.0.1:0", "the address, on loopback")
	root.Flags().StringVar(&opts.requests, "requests", "", "a file for the requests that come, a JSON object a line")
	root.Flags().StringVar(&opts.cert, "cert", "", "PEM certificate, to serve TLS")
	root.Flags().StringVar(&opts.key, "key", "", "PEM key of --cert")
	return root
}

// run serves the script at the path until ctx ends, and then returns nil unless an expectation was not met before.
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
	plane, err := standin.Start(opts.listen, serverOptions...)
	if err != nil {
		return err
	}
	defer plane.Stop()
	if opts.requests != "" {
		finish, err := recordRequests(plane, opts.requests)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, finish()) }()
	}
	if _, err := fmt.Fprintln(out, "listening", plane.Addr); err != nil {
		return err
	}
	if err := script.Run(ctx, plane, out); err != nil {
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

// loadScript reads the script at a path, or from standard input for "-".
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

// serverOptions has the gRPC credentials where the flags name a certificate.
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

// recordRequests writes every request to a file, as JSON. The returned function stops the control plane and
// completes the file.
func recordRequests(plane *standin.ControlPlane, path string) (finish func() error, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	w := bufio.NewWriter(file)
	lines := json.NewEncoder(w)
	plane.OnRequest(func(request standin.RecordedRequest) {
		_ = lines.Encode(request) // the writer keeps the error until Flush
	})
	return func() error {
		plane.Stop()
		return errors.Join(w.Flush(), file.Close())
	}, nil
}
