package cli

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"cobaltward/drain"
	"cobaltward/internal/demo"
	"cobaltward/internal/node"
)

const (
	maxEventLine  = 1 << 20    // maximum length of a line of the event stream, in bytes
	eraseLine     = "\r\x1b[K" // terminal control sequence that clears the current line
	eventPrefix   = "event: "  // prefix of the line with an event's name
	payloadPrefix = "data: "   // prefix of the line with an event's JSON payload
)

// watch prints the node's events until it is interrupted. On a terminal it prints text, with a status line that is
// updated in place. Otherwise it prints a line of JSON for each event. With untilDrained, watch returns the error of
// drainOutcome when the drain has ended.
func (a *adminClient) watch(out io.Writer, untilDrained bool) error {
	ctx, stop := signalContext()
	defer stop()
	stream, err := a.stream(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }() // the error does not matter, because the stream is only read
	view := &eventView{
		printer:      printer{out: out},
		isTerminal:   demo.IsTerminal(os.Stdout),
		untilDrained: untilDrained,
	}
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, maxEventLine)
	event := ""
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), eventPrefix); ok {
			event = name
			continue
		}
		payload, ok := strings.CutPrefix(lines.Text(), payloadPrefix)
		if !ok {
			continue
		}
		if done, err := view.show(event, payload); done || err != nil {
			return err
		}
	}
	if ctx.Err() != nil && !untilDrained {
		return nil
	}
	return statusError{errors.New("ctl: the connection to the node ended"), errUnreachable}
}

// eventView prints the events of a node to a terminal or a file.
type eventView struct {
	printer
	isTerminal   bool
	untilDrained bool
}

// show prints one event. done is true if the drain has ended and the view prints no more events.
func (v *eventView) show(event, payload string) (done bool, err error) {
	if !v.isTerminal {
		v.printf("{\"event\":%q,\"data\":%s}\n", event, payload)
	}
	switch event {
	case "drain":
		err = v.showDrain(payload)
	case "status":
		done, err = v.showStatus(payload)
	}
	return done, errors.Join(err, v.err)
}

func (v *eventView) showDrain(payload string) error {
	var change drain.Event
	if err := json.Unmarshal([]byte(payload), &change); err != nil {
		return err
	}
	if v.isTerminal {
		v.printf(eraseLine+"%s  %s: %s to %s, %d open %s\n", change.At.Local().Format(time.TimeOnly),
			change.Change, change.From, change.To, change.OpenRequests, change.Reason)
	}
	return nil
}

func (v *eventView) showStatus(payload string) (done bool, err error) {
	var status node.Status
	if err := json.Unmarshal([]byte(payload), &status); err != nil {
		return false, err
	}
	if v.isTerminal {
		v.printf(eraseLine+"%s", progressLine(status))
	}
	if !v.untilDrained {
		return false, nil
	}
	done, err = drainOutcome(status)
	if done && v.isTerminal {
		v.printf("\n")
	}
	return done, err
}

// drainOutcome reports whether a drain has ended. The error is nil if no request was open at the deadline. Otherwise
// the error has the exit status for a passed deadline or a canceled drain.
func drainOutcome(status node.Status) (done bool, err error) {
	switch status.Drain.State {
	case drain.Drained:
		return true, nil
	case drain.Forced:
		err := fmt.Errorf("ctl: the deadline passed with %d requests open; they were answered",
			status.Drain.OpenAtDeadline)
		return true, statusError{err, errDeadlinePassed}
	case drain.Serving:
		return true, statusError{errors.New("ctl: the drain was cancelled"), errDrainCancelled}
	}
	return false, nil
}
