// Command bench compares the daemon, the middleware and httputil.ReverseProxy in front of the same stub servers over
// loopback. It prints p50, p99 and CPU time per request, and the ratios of these values to the proxy's values in the
// same round. CI does not run it.
//
//	go build -o bin/ ./cmd/... && go run ./tools/bench -daemon bin/wayhold
//
// With -tls every subject uses TLS 1.3 on both sides, with the same certificates. The middleware is then left out,
// because its listener belongs to the application that embeds it.
//
// Every subject is a separate process with GOMAXPROCS=1. Each round measures every subject once, so that changes in the
// machine's speed affect all subjects alike.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"cobaltward/tools/internal/benchkit"
)

// maxConns is the maximum number of client connections in one measurement, and of the proxy's idle connections to
// each server.
const maxConns = 512

// options are the values of the command's flags.
type options struct {
	daemons      []string
	conns        []string
	rounds       int
	loadDuration time.Duration
	stubDelay    time.Duration
	profile      string
	tls          bool
}

func main() {
	if len(os.Args) > 1 && strings.HasPrefix(os.Args[1], "as-") {
		if err := runRole(os.Args[1], os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	var (
		daemons = flag.String("daemon", "bin/wayhold", "daemons to measure, with commas between")
		conns   = flag.String("conns", "8,64", "connections of clients, with commas between")
		rounds  = flag.Int("rounds", 5, "number of rounds")
		each    = flag.Duration("for", 2*time.Second, "load duration for each subject in a round")
		profile = flag.String("profile", "", "file for a CPU profile of the middleware, for go tool pprof")
		secured = flag.Bool("tls", false, "TLS on both sides")
		service = flag.Duration("service", time.Millisecond, "delay of a stub server's response")
	)
	flag.Parse()
	benchkit.ExitOnError("bench", run(options{
		daemons: strings.Split(*daemons, ","), conns: strings.Split(*conns, ","), rounds: *rounds,
		loadDuration: *each, stubDelay: *service, profile: *profile, tls: *secured,
	}))
}

func run(opts options) error {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if opts.tls {
		if err := writeCertificates(dir); err != nil {
			return err
		}
		if err := os.Setenv(certificatesEnv, dir); err != nil { // every child process inherits the variable
			return err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	stubs := exec.Command(self, "as-stubs", opts.stubDelay.String())
	servers, err := benchkit.StartAnnounced(stubs, stubCount)
	if err != nil {
		return fmt.Errorf("stub servers: %w", err)
	}
	defer benchkit.Terminate(stubs)
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, nodeConfig(servers), 0o600); err != nil {
		return err
	}
	subjects, err := startSubjects(opts, self, dir, config, servers)
	defer func() {
		for _, s := range subjects {
			benchkit.Terminate(s.cmd)
		}
	}()
	if err != nil {
		return err
	}
	return measureAll(opts, subjects)
}

// measureAll measures every subject with each number of connections and prints a report for each number.
func measureAll(opts options, subjects []*subject) error {
	var load loader
	for _, conns := range opts.conns {
		count, err := strconv.Atoi(conns)
		if err != nil || count < 1 || count > maxConns {
			return fmt.Errorf("conns: want 1 to %d, got %q", maxConns, conns)
		}
		samples, err := measure(opts, &load, subjects, count)
		if err != nil {
			return err
		}
		printReport(subjects, samples, conns)
	}
	return nil
}

// measure returns one sample per round for each subject.
func measure(opts options, load *loader, subjects []*subject, conns int) ([][]sample, error) {
	for _, s := range subjects { // warm up connections, learned thresholds and caches
		if _, err := load.run(s, conns, opts.loadDuration/2); err != nil {
			return nil, err
		}
	}
	samples := make([][]sample, len(subjects))
	for round := range opts.rounds {
		fmt.Fprintf(os.Stderr, "\r%d connections, round %d of %d ", conns, round+1, opts.rounds)
		for i, s := range subjects {
			result, err := load.run(s, conns, opts.loadDuration)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", s.name, err)
			}
			samples[i] = append(samples[i], result)
		}
	}
	fmt.Fprintln(os.Stderr)
	return samples, nil
}
