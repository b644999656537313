package standin

import (
	"slices"
	"time"

	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/grpc"
)

// maxRecorded bounds the requests and the NACKs that are remembered.
const maxRecorded = 10_000

// RecordedRequest is a request of a client. The names of its fields are keys of the JSON that xds-standin writes.
type RecordedRequest struct {
	At          time.Time
	Stream      int64 // number of the stream, from 1
	Type        string
	Nonce       string            `json:",omitempty"`
	Version     string            `json:",omitempty"` // state of the world
	Names       []string          `json:",omitempty"` // state of the world
	Subscribe   []string          `json:",omitempty"` // incremental, as the next two
	Unsubscribe []string          `json:",omitempty"`
	Initial     map[string]string `json:",omitempty"`
	Node        string            `json:",omitempty"` // id of the node, where it is sent
	Error       string            `json:",omitempty"` // reason of a NACK
}

// Nacks is the reasons of the NACKs so far, oldest first.
func (p *ControlPlane) Nacks() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.nacks)
}

// Requests is the requests so far, oldest first.
func (p *ControlPlane) Requests() []RecordedRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.requests)
}

// OnRequest has every request from now on passed to f, one after the other. f must not call the control plane.
func (p *ControlPlane) OnRequest(f func(RecordedRequest)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onRequest = f
}

// record remembers a request.
func (p *ControlPlane) record(request RecordedRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = appendRecorded(p.requests, request)
	if p.onRequest != nil {
		p.onRequest(request)
	}
	if request.Error != "" {
		p.nacks = appendRecorded(p.nacks, request.Error)
	} else if request.Nonce != "" {
		p.Acks.Add(1)
	}
}

// appendRecorded appends to a list that holds at most maxRecorded, the newest.
func appendRecorded[T any](recorded []T, next T) []T {
	return append(recorded[max(0, len(recorded)+1-maxRecorded):], next)
}

// receiveRequests passes on the requests of a stream. Its goroutine closes the channel and ends with the stream.
func receiveRequests(stream grpc.ServerStream, delta bool) <-chan RecordedRequest {
	receive := receiveSotW
	if delta {
		receive = receiveDelta
	}
	requests := make(chan RecordedRequest)
	go func() {
		defer close(requests)
		for {
			request, err := receive(stream)
			if err != nil {
				return
			}
			request.At = time.Now()
			select {
			case requests <- request:
			case <-stream.Context().Done():
				return
			}
		}
	}()
	return requests
}

func receiveSotW(stream grpc.ServerStream) (RecordedRequest, error) {
	var message xdspb.DiscoveryRequest
	err := stream.RecvMsg(&message)
	return RecordedRequest{
		Type:    message.GetTypeUrl(),
		Nonce:   message.GetResponseNonce(),
		Version: message.GetVersionInfo(),
		Names:   message.GetResourceNames(),
		Node:    message.GetNode().GetId(),
		Error:   message.GetErrorDetail().GetMessage(),
	}, err
}

func receiveDelta(stream grpc.ServerStream) (RecordedRequest, error) {
	var message xdspb.DeltaDiscoveryRequest
	err := stream.RecvMsg(&message)
	return RecordedRequest{
		Type:        message.GetTypeUrl(),
		Nonce:       message.GetResponseNonce(),
		Subscribe:   message.GetResourceNamesSubscribe(),
		Unsubscribe: message.GetResourceNamesUnsubscribe(),
		Initial:     message.GetInitialResourceVersions(),
		Node:        message.GetNode().GetId(),
		Error:       message.GetErrorDetail().GetMessage(),
	}, err
}
