// Package demo runs a demonstration of a node on loopback. It emulates app servers in three zones. One server is
// slow, and another server fails a part of its requests for a while. A discovery server returns a fixed list of the
// servers. Clients send mixed traffic for some seconds.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"cobaltward/discovery/registry"
	"cobaltward/emulator/servermodel"
	"cobaltward/internal/node"
	"cobaltward/router"
)

// Config contains the parameters of Run.
type Config struct {
	Duration time.Duration // duration of the traffic; default: 6 s
	Rate     float64       // requests per second; default: 300
	Seed     uint64
}

const (
	defaultDuration = 6 * time.Second
	defaultRate     = 300

	serverCount       = 9 // three in each zone
	discoveryLongPoll = 5 * time.Second
	maxReadyChecks    = 500
	readyInterval     = 10 * time.Millisecond
)

// demonstration holds the node, its servers and the results of the requests.
type demonstration struct {
	config       Config
	trafficStart time.Time // start of the traffic; before that, start of the servers
	servers      []*server
	nodeAddr     string // address on which the node listens

	mu           sync.Mutex
	classes      map[string]*classResult
	attempts     map[string]int  // number of attempts by request ID
	bookings     map[string]bool // set of the request IDs of bookings
	executions   map[string]int  // number of executions by request ID; filled when the servers stop
	deduplicated int             // requests that servers dropped because of a repeated idempotency key
	inFlight     int
	sent         int
}

func newDemonstration(config Config) *demonstration {
	d := &demonstration{
		config: config, classes: make(map[string]*classResult), attempts: make(map[string]int),
		bookings: make(map[string]bool), executions: make(map[string]int),
	}
	for _, class := range Settings().Classes {
		d.classes[class.Name] = &classResult{}
	}
	return d
}

// Run runs a demonstration, and writes its progress and result to out. If terminal is set, progress stays on one
// line. Run returns an error if a request was lost, if a booking was executed twice, or if something could not be
// started.
func Run(ctx context.Context, config Config, out io.Writer, terminal bool) error {
	if config.Duration <= 0 {
		config.Duration = defaultDuration
	}
	if config.Rate <= 0 {
		config.Rate = defaultRate
	}
	demo := newDemonstration(config)
	stop, err := demo.start()
	if err != nil {
		return err
	}
	seconds := config.Duration.Seconds()
	_, _ = fmt.Fprintf(out, "A node on %s, %d app servers in 3 data centres: "+
		"%s is slow, %s fails most requests from second %.1f to %.1f.\n",
		demo.nodeAddr, len(demo.servers), demo.servers[slowServer].id, demo.servers[faultyServer].id,
		faultStart*seconds, faultEnd*seconds)
	demo.runTraffic(ctx, out, terminal)
	if err := stop(); err != nil {
		return err
	}
	return demo.report(out)
}

// start starts the servers, the discovery server and the node. The returned function shuts the node down, and then
// stops the servers and the discovery server.
func (d *demonstration) start() (stop func() error, err error) {
	var closers []func()
	closeAll := func() {
		for _, closer := range slices.Backward(closers) {
			closer()
		}
	}
	defer func() {
		if err != nil {
			closeAll()
		}
	}()
	d.trafficStart = time.Now()
	group := servermodel.NewGroup(dedupWindow)
	var endpoints []router.Endpoint
	for i := range serverCount {
		started, err := startServer(i, d, group)
		if err != nil {
			return nil, err
		}
		closers = append(closers, func() { started.stop(d) })
		d.servers = append(d.servers, started)
		endpoints = append(endpoints, router.Endpoint{
			ID: started.id, Addr: started.frontend.Addr, Zone: started.zone, Kind: "demo", Weight: 1,
		})
	}
	discovery, stopDiscovery, err := startHTTP(http.HandlerFunc(serveUnchangedList))
	if err != nil {
		return nil, err
	}
	closers = append(closers, stopDiscovery)
	stopNode, err := d.startNode(discovery, endpoints)
	if err != nil {
		return nil, err
	}
	return func() error {
		err := stopNode()
		closeAll()
		return err
	}, nil
}

// startNode runs the node, and returns once it is ready.
func (d *demonstration) startNode(discovery string, endpoints []router.Endpoint) (stop func() error, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.nodeAddr = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	config := node.Config{
		Name: "demo", Discovery: discovery, Seed: d.config.Seed, MaxDescriptors: 1024,
		InitialList: registry.List{Revision: 1, Full: true, Endpoints: endpoints}, Settings: Settings(),
		ConnectTimeout: 250 * time.Millisecond,
	}
	go func() { ended <- node.Run(ctx, config, listener, nil, slog.New(slog.DiscardHandler)) }()
	stop = func() error {
		cancel()
		return <-ended
	}
	if err := d.waitReady(); err != nil {
		_ = stop()
		return nil, err
	}
	return stop, nil
}

func (d *demonstration) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for range maxReadyChecks {
		resp, err := client.Get("http://" + d.nodeAddr + "/health/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyInterval)
	}
	return fmt.Errorf("demo: node not ready after %d checks", maxReadyChecks)
}

// serveUnchangedList answers the node's long poll to the discovery server. The list never changes.
func serveUnchangedList(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(discoveryLongPoll):
		_, _ = io.WriteString(w, `{"revision":1,"complete":false,"members":[]}`)
	}
}

// IsTerminal reports whether file is a character device, such as a terminal.
func IsTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
