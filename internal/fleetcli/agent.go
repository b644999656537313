package fleetcli

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
	"cobaltward/internal/nodeconfig"
)

// incarnationSize is the length, in bytes, of what tells one run of a process from another.
const incarnationSize = 8

// runAgent runs the agent beside a node until SIGTERM. It holds leases where its file says that it may.
func runAgent(loaded *settings, hooks TestHooks) error {
	if len(loaded.Replicas) == 0 {
		return errors.New("fleet.council: missing: an agent follows the state of its replicas")
	}
	ctx, stop := signalContext()
	defer stop()
	node, err := loaded.nodeClient()
	if err != nil {
		return err
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	client := agent.NewClient(loaded.Replicas, loaded.AddressOverrides, loaded.token, loaded.clientTLS())
	defer client.HTTP.CloseIdleConnections()
	self, err := agent.New(loaded.agentConfig(incarnation, hooks), node, client)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	self.Mount(mux)
	endServing, err := serveHTTP(ctx, loaded, mux)
	if err != nil {
		return err
	}
	defer endServing()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { self.Run(ctx) })
	var runners sync.WaitGroup
	for _, kind := range loaded.LeaseKinds {
		config := loaded.controllerConfig(fleet.JobKind(kind), incarnation, hooks)
		runner := agent.NewControllerRunner(config, client, self.Watcher())
		runners.Go(func() { runner.Run(ctx) })
	}
	<-ctx.Done()
	runners.Wait()
	return nil
}

// newIncarnation returns a name that no other run of a process has.
func newIncarnation() (string, error) {
	raw := make([]byte, incarnationSize)
	_, err := rand.Read(raw)
	return hex.EncodeToString(raw), err
}

// identity returns the holder's identity of one incarnation of the process.
func (s *settings) identity(incarnation string) string { return s.Name + "/" + incarnation }

// nodeClient returns the client of the node beside the agent.
func (s *settings) nodeClient() (*agent.NodeClient, error) {
	if s.nodeAdmin.Socket != "" {
		return agent.NewNodeClient(s.nodeAdmin.Socket, ""), nil
	}
	if s.nodeAdmin.Listen == "" {
		return nil, errors.New("door: missing: an agent drives its node by its admin API")
	}
	token, err := nodeconfig.ReadToken(s.nodeAdmin.TokenFile)
	if err != nil {
		return nil, fmt.Errorf("door.token_file: %w", err)
	}
	return agent.NewNodeClient(s.nodeAdmin.Listen, token), nil
}

func (s *settings) agentConfig(incarnation string, hooks TestHooks) agent.Config {
	return agent.Config{
		Self: fleet.Node{
			Name:           s.Name,
			Zone:           s.Zone,
			Address:        s.Address,
			Capacity:       s.Capacity,
			LeaseCandidate: len(s.LeaseKinds) > 0,
			Incarnation:    incarnation,
		},
		Dir:       s.Dir,
		Commands:  agent.Commands{Patch: s.PatchCommand, Verify: s.CheckCommand, Revert: s.RevertCommand},
		Timeout:   s.Timeout,
		Clock:     hooks.clock(),
		Unsafe:    hooks.Unsafe,
		Log:       s.log,
		FailPoint: hooks.FailPoint,
	}
}

func (s *settings) controllerConfig(kind fleet.JobKind, incarnation string, hooks TestHooks) agent.ControllerConfig {
	config := agent.ControllerConfig{
		Kind:          kind,
		Identity:      s.identity(incarnation),
		Node:          s.Name,
		LeaseDuration: s.Lease,
		Clock:         hooks.clock(),
		Unsafe:        hooks.Unsafe,
		Log:           s.log,
		FailPoint:     hooks.FailPoint,
	}
	if hooks.ObserveProposal != nil {
		config.ObserveProposal = func(entry fleet.Entry) func(fleet.Result, bool) {
			return hooks.ObserveProposal(entry, config.Identity)
		}
	}
	return config
}
