package adminapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Event is one server-sent event of a stream.
type Event struct {
	Name string
	Data any // encoded as JSON
}

// StreamEvents responds to a request with a stream of server-sent events. It calls next at once and then once per
// interval. next must not block. It returns the events since its last call, and whether more events may follow. The
// stream ends if more is false, if the client disconnects or does not read for ioTimeout, or if the server is closed.
func (s *Server) StreamEvents(
	w http.ResponseWriter, r *http.Request, interval time.Duration, next func() (events []Event, more bool),
) {
	select {
	case s.streams <- struct{}{}:
		defer func() { <-s.streams }()
	default:
		message := fmt.Sprintf("%d event streams are open already", maxEventStreams)
		WriteError(w, http.StatusServiceUnavailable, message)
		return
	}
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Time{}) // clients send nothing during a stream; if this fails, the next write fails too
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		events, more := next()
		_ = conn.SetWriteDeadline(time.Now().Add(ioTimeout)) // if this fails, the write fails too
		if writeEvents(w, events) != nil || conn.Flush() != nil || !more {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		case <-s.done:
			return
		}
	}
}

func writeEvents(w http.ResponseWriter, events []Event) error {
	for _, event := range events {
		raw, err := json.Marshal(event.Data)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "event: %s\ndata: %s\n\n", event.Name, raw); err != nil {
			return err
		}
	}
	return nil
}
