package node

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cobaltward/discovery/disabled"
	"cobaltward/internal/adminapi"
	"cobaltward/router"
)

// eventInterval is the interval between statuses in the event stream.
const eventInterval = 250 * time.Millisecond

// adminAPI handles the calls of a node's admin API. Its methods are safe for concurrent use.
type adminAPI struct {
	name            string
	engine          *router.Router
	disabled        *disabled.Source
	httpServer      *httpServer
	announceFor     time.Duration      // time from the start of a drain until connections are closed
	nodeTLS         *nodeTLS           // nil: no TLS
	drainMarkerFile string             // path of the drain marker file; empty: no file
	onStandby       func(standby bool) // tells the other processes of this node to enter or leave standby; may be nil

	mu         sync.Mutex
	lastStatus Status
	statusAt   time.Time
}

// register adds the node's paths to the admin API.
func (a *adminAPI) register(api *adminapi.Server) {
	api.Handle(http.MethodGet, "/status", a.handleStatus)
	api.Handle(http.MethodGet, "/events", func(w http.ResponseWriter, r *http.Request) { a.watchEvents(api, w, r) })
	api.Handle(http.MethodPost, "/drain", a.handleDrain)
	api.Handle(http.MethodDelete, "/drain", a.handleCancelDrain)
	api.Handle(http.MethodGet, "/tls", a.handleTLS)
	api.Handle(http.MethodGet, "/level", a.handleLevel)
	api.Handle(http.MethodPost, "/level", a.handleSetLevel)
	api.Handle(http.MethodDelete, "/level", a.handleReleaseLevel)
	api.Handle(http.MethodPost, "/level/most", a.handleSetMaxLevel)
	api.Handle(http.MethodGet, "/servers", a.handleServers)
	api.Handle(http.MethodPost, "/servers/{id}/drain", a.handleDisable)
	api.Handle(http.MethodDelete, "/servers/{id}/drain", a.handleEnable)
}

func (a *adminAPI) handleStatus(w http.ResponseWriter, _ *http.Request) {
	adminapi.WriteJSON(w, http.StatusOK, a.currentStatus())
}

// watchEvents sends drain events, and the status every eventInterval, until the client disconnects.
func (a *adminAPI) watchEvents(api *adminapi.Server, w http.ResponseWriter, r *http.Request) {
	var last uint64 // number of the last event sent
	api.StreamEvents(w, r, eventInterval, func() (events []adminapi.Event, more bool) {
		for _, event := range a.engine.DrainEvents(last) {
			if event.Number > last+1 && last > 0 {
				events = append(events, adminapi.Event{Name: "lost", Data: event.Number - last - 1})
			}
			last = event.Number
			events = append(events, adminapi.Event{Name: "drain", Data: event})
		}
		return append(events, adminapi.Event{Name: "status", Data: a.currentStatus()}), true
	})
}

func (a *adminAPI) handleTLS(w http.ResponseWriter, _ *http.Request) {
	if a.nodeTLS == nil {
		adminapi.WriteError(w, http.StatusConflict, "TLS is not configured: the node's own file has no [tls] table")
		return
	}
	adminapi.WriteJSON(w, http.StatusOK, a.nodeTLS.status())
}

// LevelRequest is the body of POST /v1/level and /v1/level/most.
type LevelRequest struct {
	Level       int    `json:"level"`
	Duration    string `json:"for"` // for example "10m"; empty: no end until the level is released
	RequestedBy string `json:"who"`
	Reason      string `json:"reason"`
}

func (a *adminAPI) handleLevel(w http.ResponseWriter, _ *http.Request) {
	status, err := a.engine.Level()
	if err != nil {
		adminapi.WriteError(w, http.StatusConflict, err.Error())
		return
	}
	adminapi.WriteJSON(w, http.StatusOK, status)
}

func (a *adminAPI) handleSetLevel(w http.ResponseWriter, r *http.Request) {
	var request LevelRequest
	if !adminapi.ReadJSON(w, r, &request) {
		return
	}
	var duration time.Duration
	if request.Duration != "" {
		var err error
		if duration, err = parseOrderDuration(request.Duration); err != nil {
			adminapi.WriteError(w, http.StatusBadRequest, fmt.Sprintf(`for: %v; example: "10m"`, err))
			return
		}
	}
	a.replyLevel(w, r, a.engine.SetLevel(request.Level, duration, request.RequestedBy, request.Reason))
}

// handleSetMaxLevel forbids all levels above the requested level.
func (a *adminAPI) handleSetMaxLevel(w http.ResponseWriter, r *http.Request) {
	var request LevelRequest
	if !adminapi.ReadJSON(w, r, &request) {
		return
	}
	a.replyLevel(w, r, a.engine.SetMaxLevel(request.Level, request.RequestedBy, request.Reason))
}

func (a *adminAPI) handleReleaseLevel(w http.ResponseWriter, r *http.Request) {
	a.replyLevel(w, r, a.engine.ReleaseLevel())
}

// replyLevel answers a request to change the level. It sends the current level, or err if the change failed.
func (a *adminAPI) replyLevel(w http.ResponseWriter, r *http.Request, err error) {
	if err != nil {
		adminapi.WriteError(w, http.StatusConflict, err.Error())
		return
	}
	a.handleLevel(w, r)
}

func (a *adminAPI) handleServers(w http.ResponseWriter, _ *http.Request) {
	adminapi.WriteJSON(w, http.StatusOK, a.disabled.ServersByZone())
}

func (a *adminAPI) handleDisable(w http.ResponseWriter, r *http.Request) {
	a.replyDisabled(w, a.disabled.Disable(r.PathValue("id")))
}

func (a *adminAPI) handleEnable(w http.ResponseWriter, r *http.Request) {
	a.replyDisabled(w, a.disabled.Enable(r.PathValue("id")))
}

// replyDisabled answers a request to disable or enable a server. It sends all disabled servers, or err if the change
// failed.
func (a *adminAPI) replyDisabled(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, disabled.ErrUnknownServer):
		adminapi.WriteError(w, http.StatusNotFound, err.Error())
	case err != nil:
		adminapi.WriteError(w, http.StatusConflict, err.Error())
	default:
		adminapi.WriteJSON(w, http.StatusOK, map[string][]string{"servers_drained_by_hand": a.disabled.Disabled()})
	}
}
