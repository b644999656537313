package cli

import (
	"log/slog"
	"os"

	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
)

// reloader reads the platform's configuration and the operator's own file again, and applies both or neither.
type reloader struct {
	path          string          // of the operator's own file
	running       nodeconfig.File // as read at the start
	level         *slog.LevelVar
	log           *slog.Logger
	configuration *configuration
}

// run reads the files after each signal until done is closed. The channel reloads, which has a buffer of one, then has
// the newest configuration.
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
		case <-reloads: // replaced before it was read
		default:
		}
		reloads <- config
	}
}

// read reads the files, and puts in force what the node does not apply itself.
func (r *reloader) read() (node.Config, error) {
	options, err := nodeconfig.Load(r.path)
	if err != nil {
		return node.Config{}, err
	}
	config, adopt, err := r.configuration.reload(r.path)
	if err != nil {
		return node.Config{}, err
	}
	applyDrain(options, &config)
	if r.running.XDS.Enabled() { // without it there are no clusters
		if err := bindClusters(options, &config); err != nil {
			return node.Config{}, err
		}
	}
	if err := adopt(); err != nil {
		return node.Config{}, err
	}
	r.level.Set(options.Log.Level.Level)
	for _, key := range nodeconfig.RestartKeys(r.running, options) {
		r.log.Warn("reload: takes effect at the next start", "key", key)
	}
	return config, nil
}
