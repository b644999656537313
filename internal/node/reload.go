package node

import (
	"context"
	"errors"
	"fmt"
	"reflect"
)

// watchReloads applies each configuration received from reloads until ctx ends.
func (n *node) watchReloads(ctx context.Context, reloads <-chan Config) {
	for {
		select {
		case next := <-reloads:
			if err := n.applyConfig(n.current.Load(), &next); err != nil {
				n.log.Error("reload: keeping the old configuration", "err", err)
				continue
			}
			n.registry.SetAddress(next.Discovery)
			n.current.Store(&next)
		case <-ctx.Done():
			return
		}
	}
}

// applyConfig applies the levels and the settings of next. If the settings are rejected, it restores the levels of
// current.
func (n *node) applyConfig(current, next *Config) error {
	if next.Settings.Subscribe != current.Settings.Subscribe {
		return errors.New("settings.registryMode: takes effect at the next start only")
	}
	levelsChanged := !reflect.DeepEqual(next.Levels, current.Levels)
	if levelsChanged {
		if err := n.engine.SetLevels(next.Levels); err != nil {
			return fmt.Errorf("levels: %w", err)
		}
	}
	if next.MaxInFlight != current.MaxInFlight || !reflect.DeepEqual(next.Settings, current.Settings) {
		if err := n.engine.Reload(next.routerConfig()); err != nil {
			if levelsChanged {
				err = errors.Join(err, n.engine.SetLevels(current.Levels))
			}
			return err
		}
		n.log.Info("reload: new settings applied")
	}
	if levelsChanged {
		n.log.Info("reload: new levels applied")
	}
	return nil
}
