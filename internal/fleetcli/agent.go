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

// incarnationSize is the size in bytes of the random ID of one run of a process.
const incarnationSize = 8

// runAgent runs the agent of a node until SIGTERM or SIGINT. It also runs a controller for each kind of lease that
// the configuration file allows the agent to hold.
func runAgent(cfg *settings, hooks TestHooks) error {
	if len(cfg.Replicas) == 0 {
		return errors.New("fleet.council: missing: an agent needs the addresses of the replicas")
	}
	ctx, stop := signalContext()
	defer stop()
	node, err := cfg.nodeClient()
	if err != nil {
		return err
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	client := agent.NewClient(cfg.Replicas, cfg.AddressOverrides, cfg.token, cfg.clientTLS())
	defer client.HTTP.CloseIdleConnections()
	nodeAgent, err := agent.New(cfg.agentConfig(incarnation, hooks), node, client)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	nodeAgent.Mount(mux)
	stopServing, err := serveHTTP(ctx, cfg, mux)
	if err != nil {
		return err
	}
	defer stopServing()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { nodeAgent.Run(ctx) })
	var runners sync.WaitGroup
	for _, kind := range cfg.LeaseKinds {
		config := cfg.controllerConfig(fleet.JobKind(kind), incarnation, hooks)
		runner := agent.NewControllerRunner(config, client, nodeAgent.Watcher())
		runners.Go(func() { runner.Run(ctx) })
	}
	<-ctx.Done()
	runners.Wait()
	return nil
}

// newIncarnation returns a random ID for this run of the process.
func newIncarnation() (string, error) {
	raw := make([]byte, incarnationSize)
	_, err := rand.Read(raw)
	return hex.EncodeToString(raw), err
}

// identity returns the identity under which this process holds leases in the given incarnation.
func (s *settings) identity(incarnation string) string { return s.Name + "/" + incarnation }

// nodeClient returns a client of the admin API of the agent's node.
func (s *settings) nodeClient() (*agent.NodeClient, error) {
	if s.nodeAdmin.Socket != "" {
		return agent.NewNodeClient(s.nodeAdmin.Socket, ""), nil
	}
	if s.nodeAdmin.Listen == "" {
		return nil, errors.New("door: missing: an agent controls its node through the admin API")
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
