package consensus

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cobaltward/fleet"
	"cobaltward/internal/adminapi"
)

const (
	// proposeTimeout is the maximum time that a request waits for its proposal to be applied.
	proposeTimeout = 5 * time.Second
	// maxRequestBody is the maximum size in bytes of a request body from an agent or operator.
	maxRequestBody = 64 << 10
)

// ProposeResponse is the answer to a proposal or to a membership request.
type ProposeResponse struct {
	Position     fleet.Position     `json:"at,omitempty"`
	FencingToken fleet.FencingToken `json:"token,omitempty"`
	Error        string             `json:"error,omitempty"` // wire text of one of fleet.RejectionErrors
}

// MembershipRequest asks to add or remove a member.
type MembershipRequest struct {
	Name    string `json:"name"`
	Address string `json:"address,omitempty"`
	ID      string `json:"id,omitempty"` // ID of the member's storage, in hexadecimal
	Remove  bool   `json:"remove,omitempty"`
}

// Handler returns the HTTP interface for replicas, agents and operators. It does not check bearer tokens: the caller
// must wrap it in a handler that does.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messagePath, r.handleMessages)
	mux.HandleFunc("POST /v1/propose", r.handlePropose)
	mux.HandleFunc("POST /v1/state", r.handleWatch)
	mux.HandleFunc("POST /v1/member", r.handleMembership)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		adminapi.WriteJSON(w, http.StatusOK, r.Status())
	})
	return mux
}

// handleMessages queues the messages of another replica. It drops messages that exceed the queue, because raft sends
// them again.
func (r *Replica) handleMessages(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxMessageBody))
	if err != nil {
		adminapi.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	// Messages of another epoch are rejected. Without this check, replicas of the old cluster would still vote and
	// overwrite the log of a forced new cluster.
	ownEpoch, senderEpoch := r.View().State.Epoch, req.Header.Get(epochHeader)
	if ownEpoch != 0 && senderEpoch != "0" && senderEpoch != strconv.FormatUint(ownEpoch, 10) {
		message := fmt.Sprintf("this cluster has epoch %d, but the message has epoch %s", ownEpoch, senderEpoch)
		adminapi.WriteError(w, http.StatusGone, message)
		return
	}
	if id, err := strconv.ParseUint(req.Header.Get(fromHeader), 16, 64); err == nil {
		r.transport.learnAddress(id, req.Header.Get(addressHeader))
	}
	if status, err := r.enqueue(body); err != nil {
		adminapi.WriteError(w, status, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// enqueue queues the messages of a body. It stops at the first message that is invalid or exceeds the queue.
func (r *Replica) enqueue(body []byte) (status int, err error) {
	for len(body) > 0 {
		message, rest, err := decodeMessage(body)
		if err != nil {
			return http.StatusBadRequest, err
		}
		body = rest
		if message.GetTo() != r.core.ID() {
			return http.StatusGone, fmt.Errorf("replica %x was replaced by %x here; remove the former and add the latter",
				message.GetTo(), r.core.ID())
		}
		select {
		case r.inbox <- message:
		default:
			return http.StatusServiceUnavailable, errors.New("the queue of messages is full")
		}
	}
	return 0, nil
}

// readRequest decodes the request body of an agent or operator into the value that to points to. If decoding fails,
// readRequest responds with an error and returns false.
func readRequest(w http.ResponseWriter, r *http.Request, to any) bool {
	r.Body = http.MaxBytesReader(w, r.Body, maxRequestBody)
	return adminapi.ReadJSON(w, r, to)
}

func (r *Replica) handlePropose(w http.ResponseWriter, req *http.Request) {
	var entry fleet.Entry
	if !readRequest(w, req, &entry) {
		return
	}
	switch entry.Kind {
	case fleet.KindUpgradeFormat, fleet.KindAnnounceFormat, fleet.KindExpireLease: // only replicas propose these kinds
		adminapi.WriteError(w, http.StatusForbidden, fmt.Sprintf("only members may propose entries of kind %q", entry.Kind))
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), proposeTimeout)
	defer cancel()
	result, err := r.Propose(ctx, entry)
	respond(w, result, err)
}

func (r *Replica) handleMembership(w http.ResponseWriter, req *http.Request) {
	var request MembershipRequest
	if !readRequest(w, req, &request) {
		return
	}
	id, status, err := r.memberID(request)
	if err != nil {
		adminapi.WriteError(w, status, err.Error())
		return
	}
	member := fleet.Member{ID: id, Name: request.Name, Address: request.Address, Learner: !request.Remove}
	ctx, cancel := context.WithTimeout(req.Context(), proposeTimeout)
	defer cancel()
	result, err := r.ChangeMembership(ctx, member, request.Remove)
	respond(w, result, err)
}

// memberID returns the ID in a request. For a request to remove a member without an ID, memberID looks up the member
// by name.
func (r *Replica) memberID(request MembershipRequest) (id uint64, status int, err error) {
	if request.ID != "" {
		id, err := strconv.ParseUint(request.ID, 16, 64)
		if err != nil || id == 0 {
			err = fmt.Errorf("id: %q is not the ID of a member in hexadecimal", request.ID)
			return 0, http.StatusBadRequest, err
		}
		return id, 0, nil
	}
	if request.Remove {
		for id, member := range r.View().State.Members {
			if member.Name == request.Name {
				return id, 0, nil
			}
		}
	}
	return 0, http.StatusConflict, fmt.Errorf("no member %q", request.Name)
}

// respond writes the response to a request with the outcome of its proposal.
func respond(w http.ResponseWriter, result fleet.Result, err error) {
	var membershipErr *MembershipError
	switch {
	case err == nil:
		response := ProposeResponse{Position: result.Position, FencingToken: result.FencingToken}
		if result.Err != nil {
			response.Error = fleet.RejectionWireText(result.Err)
		}
		adminapi.WriteJSON(w, http.StatusOK, response)
	case errors.As(err, &membershipErr):
		adminapi.WriteError(w, http.StatusConflict, err.Error())
	case errors.Is(err, ErrNoLeader):
		adminapi.WriteError(w, http.StatusServiceUnavailable, err.Error())
	default:
		adminapi.WriteError(w, http.StatusGatewayTimeout, err.Error())
	}
}
