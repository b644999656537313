package cli

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
	"cobaltward/internal/operations"
)

// serve runs the node with the operator's configuration file at path until a signal ends the node.
func serve(path string, logs io.Writer, extensions Extensions) error {
	// A buffer of one is enough: the files are read after the signal is received, so one signal covers several changes.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	options, err := nodeconfig.Load(path)
	if err != nil {
		return err
	}
	source, err := loadConfigSource(path)
	if err != nil {
		return err
	}
	config, err := source.nodeConfig()
	if err != nil {
		return err
	}
	level := new(slog.LevelVar)
	log := newLogger(options.Log, level, logs)
	source.applyStandalone(&config, log)
	if err := applyOptions(options, &config, extensions, log); err != nil {
		return err
	}
	if config.TLS, err = loadTLS(path, source, options); err != nil {
		return err
	}
	setRuntimeLimits(&config)
	ctx, stop := signalContext()
	defer stop()
	listener, err := listenForClients(&config, os.Getenv)
	if err != nil {
		return err
	}
	if config.OperationsAddr != "" {
		if config.OperationsListener, err = operations.Listen(config.OperationsAddr); err != nil {
			return err
		}
	}
	log.Info("listening", "name", config.Name, "address", listener.Addr(), "servers", len(config.InitialList.Endpoints))
	reloads, done := make(chan node.Config, 1), make(chan struct{})
	defer close(done)
	reload := reloader{path: path, running: options, level: level, log: log, source: source}
	go reload.run(hangups, reloads, done)
	return node.Run(ctx, config, listener, reloads, log)
}

// applyOptions adds the options of the operator's file to config, and opens the listener for MessagePack-RPC.
func applyOptions(options nodeconfig.File, config *node.Config, extensions Extensions, log *slog.Logger) error {
	applyDrain(options, config)
	config.DrainMarkerFile = options.Drain.StateFile
	if err := applyXDS(options, config, extensions, log); err != nil {
		return err
	}
	var err error
	if config.Msgpack, err = openMsgpack(options.Msgpack); err != nil {
		return err
	}
	config.AdminAPI, err = adminAPIConfig(options.AdminAPI)
	return err
}

// applyDrain adds the durations of a drain to the node's configuration.
func applyDrain(options nodeconfig.File, config *node.Config) {
	if options.Drain.AnnounceFor.Set {
		config.AnnounceFor = &options.Drain.AnnounceFor.Duration
	}
	if options.Drain.Timeout.Set {
		config.DrainTimeout = &options.Drain.Timeout.Duration
	}
}

// loadTLS returns the TLS configuration from the table [tls] of the operator's file. It reads the certificates.
func loadTLS(path string, source *configSource, options nodeconfig.File) (*node.TLS, error) {
	config, err := source.operatorFile.NodeTLS(time.Now())
	if err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	if config != nil && len(config.Secrets) > 0 && options.XDS.Bootstrap == "" {
		return nil, fmt.Errorf("%s: tls: a secret is named, but xds.bootstrap names no control plane to send it", path)
	}
	return config, nil
}

// setRuntimeLimits sets the memory limit and GOMAXPROCS of this process. Package node does not set them, because a
// library must not change them.
func setRuntimeLimits(config *node.Config) {
	heapLimit := config.HeapLimit()
	debug.SetMemoryLimit(heapLimit)
	config.SetMemoryShare = func(share float64) { debug.SetMemoryLimit(int64(share * float64(heapLimit))) }
	config.SharedDir = os.Getenv("TMPDIR")
	runtime.GOMAXPROCS(int(max(1, math.Ceil(config.Cores))))
}

// newLogger returns a logger in the configured format. The logger follows level, which newLogger sets to the
// configured level.
func newLogger(config nodeconfig.Log, level *slog.LevelVar, logs io.Writer) *slog.Logger {
	level.Set(config.Level.Level)
	options := &slog.HandlerOptions{Level: level}
	if config.Format == "json" {
		return slog.New(slog.NewJSONHandler(logs, options))
	}
	return slog.New(slog.NewTextHandler(logs, options))
}
