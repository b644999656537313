package cli

import (
	"log/slog"
	"os"

	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
)

// reloader reads the platform's configuration and the operator's configuration file again, and applies both or neither.
type reloader struct {
	path    string          // of the operator's configuration file
	running nodeconfig.File // options as read at the start, some of which change only with a restart
	level   *slog.LevelVar
	log     *slog.Logger
	source  *configSource
}

// run reads the files again after each signal until done is closed, and sends the configuration to reloads. That
// channel must have a buffer of one: a configuration that was not received yet is replaced by the newer one.
func (r *reloader) run(hangups <-chan os.Signal, reloads chan node.Config, done <-chan struct{}) {
	for {
		select {
		case <-hangups:
		case <-done:
			return
		}
		config, err := r.read()
		if err != nil {
			r.log.Error("reload: keeping the old configuration", "err", err)
			continue
		}
		select {
		case <-reloads: // discard a configuration that was not received yet
		default:
		}
		reloads <- config
	}
}

// read reads the files, applies what the node does not apply itself, and returns the rest as the node's configuration.
func (r *reloader) read() (node.Config, error) {
	options, err := nodeconfig.Load(r.path)
	if err != nil {
		return node.Config{}, err
	}
	config, apply, err := r.source.reload(r.path)
	if err != nil {
		return node.Config{}, err
	}
	applyDrain(options, &config)
	if r.running.XDS.Enabled() { // without xDS at the start, the node has no clusters to bind
		if err := bindClusters(options, &config); err != nil {
			return node.Config{}, err
		}
	}
	if err := apply(); err != nil {
		return node.Config{}, err
	}
	r.level.Set(options.Log.Level.Level)
	for _, key := range nodeconfig.RestartKeys(r.running, options) {
		r.log.Warn("reload: takes effect at the next start", "key", key)
	}
	return config, nil
}
