package standin

import (
	"slices"
	"time"

	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/grpc"
)

// maxRecorded is the maximum number of recorded requests, and of recorded NACKs.
const maxRecorded = 10_000

// RecordedRequest is a request of a client. The field names are keys in the JSON that xds-standin writes.
type RecordedRequest struct {
	At          time.Time
	Stream      int64 // number of the stream, starting with 1
	Type        string
	Nonce       string            `json:",omitempty"`
	Version     string            `json:",omitempty"` // state-of-the-world variant only
	Names       []string          `json:",omitempty"` // state-of-the-world variant only
	Subscribe   []string          `json:",omitempty"` // incremental variant only, as are the next two fields
	Unsubscribe []string          `json:",omitempty"`
	Initial     map[string]string `json:",omitempty"`
	Node        string            `json:",omitempty"` // id of the node, if the request identifies the node
	Error       string            `json:",omitempty"` // reason of a NACK
}

// Nacks returns the reasons of the NACKs received so far, oldest first. At most maxRecorded are kept.
func (p *ControlPlane) Nacks() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.nacks)
}

// Requests returns the requests received so far, oldest first. At most maxRecorded are kept.
func (p *ControlPlane) Requests() []RecordedRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.requests)
}

// OnRequest makes the control plane pass every future request to f, one at a time. f must not call the control plane.
func (p *ControlPlane) OnRequest(f func(RecordedRequest)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onRequest = f
}

// record stores a request and counts its ACK or NACK.
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

// appendRecorded appends next to a list of at most maxRecorded entries. It drops the oldest entry of a full list.
func appendRecorded[T any](recorded []T, next T) []T {
	return append(recorded[max(0, len(recorded)+1-maxRecorded):], next)
}

// receiveRequests returns a channel with the requests of a stream. A goroutine feeds the channel and closes it at the
// end of the stream.
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
