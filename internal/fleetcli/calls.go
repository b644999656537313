package fleetcli

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
	"cobaltward/fleet/consensus"
)

const (
	callTimeout   = 8 * time.Second        // timeout for a call that proposes an entry or changes the membership
	statusTimeout = 4 * time.Second        // timeout for the status requests to all replicas
	pollInterval  = 200 * time.Millisecond // time between two requests of a command that waits
)

// propose proposes an entry, and prints the position at which the entry was committed.
func (c *operatorCommands) propose(client *agent.Client, entry fleet.Entry) error {
	result, err := c.commit(client, entry)
	if err != nil {
		return err
	}
	return c.printResult(result)
}

func (c *operatorCommands) printResult(result fleet.Result) error {
	if c.asJSON {
		return json.NewEncoder(c.out).Encode(struct {
			Position     fleet.Position     `json:"position"`
			FencingToken fleet.FencingToken `json:"token"`
		}{result.Position, result.FencingToken})
	}
	return c.println(fmt.Sprintf("agreed on at position %d", result.Position))
}

// println writes one line to the output of the command.
func (c *operatorCommands) println(line string) error {
	_, err := fmt.Fprintln(c.out, line)
	return err
}

// commit proposes an entry to one replica after another until a replica reports the outcome or rejects the call. It
// adds the operator and the reason to the entry.
func (c *operatorCommands) commit(client *agent.Client, entry fleet.Entry) (fleet.Result, error) {
	entry.RequestedBy, entry.Reason = c.requestedBy, c.reason
	var lastErr error
	for range client.Replicas {
		result, err := proposeWithTimeout(client, entry)
		switch {
		case err == nil && result.Err != nil:
			return result, exitError{result.Err, exitRejected}
		case err == nil:
			return result, nil
		case errors.Is(err, agent.ErrRejected):
			return result, err
		}
		lastErr = err
	}
	err := fmt.Errorf("no replica reported the outcome: %w; check the status before you retry",
		lastErr)
	return fleet.Result{}, exitError{err, exitUnavailable}
}

func proposeWithTimeout(client *agent.Client, entry fleet.Entry) (fleet.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return client.Propose(ctx, entry)
}

// newestState returns the status of each replica that responds, by address, and the newest state among these
// replicas.
func newestState(client *agent.Client) (map[string]consensus.Status, *fleet.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	statuses := client.Statuses(ctx)
	var newest *fleet.State
	for _, address := range slices.Sorted(maps.Keys(statuses)) {
		state := statuses[address].State
		if state != nil && (newest == nil || state.NewerThan(newest)) {
			newest = state
		}
	}
	if newest == nil {
		err := fmt.Errorf("none of %d replicas responded", len(client.Replicas))
		return nil, nil, exitError{err, exitUnavailable}
	}
	return statuses, newest, nil
}

// newestReports returns the newest report of each agent from all replicas, by the agent's name.
func newestReports(statuses map[string]consensus.Status) map[string]consensus.AgentReport {
	newest := make(map[string]consensus.AgentReport)
	for _, status := range statuses {
		for _, report := range status.Reports {
			if report.SeenAt.After(newest[report.Name].SeenAt) {
				newest[report.Name] = report
			}
		}
	}
	return newest
}

// condition reports whether the state for which a command waits is reached. It also describes the progress in one
// line.
type condition func(statuses map[string]consensus.Status, state *fleet.State) (met bool, progress string)

// newID returns a random ID that begins with kind. The ID does not depend on the clock. It is therefore unique among
// commands of the same instant, and after the wall clock is set back.
func newID(kind string) string { return kind + "-" + strings.ToLower(rand.Text()) }

// pollUntil polls the state until isMet reports that the condition is met, and prints the progress when it changes.
// After timeout it returns an error that names the condition as goal.
func (c *operatorCommands) pollUntil(client *agent.Client, goal string, timeout time.Duration, isMet condition) error {
	lastProgress := ""
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		if statuses, state, err := newestState(client); err == nil {
			done, progress := isMet(statuses, state)
			if progress != lastProgress {
				if err := c.println(progress); err != nil {
					return err
				}
				lastProgress = progress
			}
			if done {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return exitError{fmt.Errorf("timeout: %s not reached within %v", goal, timeout), exitTimeout}
		}
	}
}
