package cli

import (
	"log/slog"
	"os"

	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
)

// reloader reads the platform's configuration and the operator's configuration file again. It applies both or
// neither.
type reloader struct {
	path    string          // path of the operator's configuration file
	running nodeconfig.File // options at the start; some change only with a restart
	level   *slog.LevelVar
	log     *slog.Logger
	source  *configSource
}

// run reads the files again after each signal until done is closed, and sends the configuration to reloads. reloads
// must have a buffer of one. A newer configuration replaces one that has not been received yet.
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
		case <-reloads: // discard a configuration that has not been received yet
		default:
		}
		reloads <- config
	}
}

// read reads the files, and returns the node's configuration. It applies the settings that the node does not apply
// itself.
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
	if r.running.XDS.Enabled() { // a node that started without xDS has no clusters to bind
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
