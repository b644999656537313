package standin

import (
	"slices"
	"strconv"

	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// scriptedEndMessage is the status message of streams that a fault ends.
const scriptedEndMessage = "as the script has it"

// typeOrder is the order of the types that the specification recommends for sending.
var typeOrder = []string{resource.ClusterURL, resource.AssignmentURL, resource.SecretURL}

// clientStream is one stream of either variant of the protocol. Only the goroutine of serve uses a clientStream.
type clientStream struct {
	grpc.ServerStream
	controlPlane  *ControlPlane
	delta         bool
	subscriptions map[string]*subscription // by type URL
	responses     int                      // number of responses sent so far
	lastNonces    map[string]string        // nonce of the last response, by type URL
	lastResponse  proto.Message
	closeCount    int // faults.closeCount at the opening of the stream
	resendCount   int // faults.resendCount at the last resend on this stream
}

// serve handles one stream until the client or a fault ends the stream.
func (p *ControlPlane) serve(stream grpc.ServerStream, delta bool) error {
	id := p.Streams.Add(1)
	requests := receiveRequests(stream, delta)
	initial, _ := p.currentFaults()
	client := &clientStream{
		ServerStream: stream, controlPlane: p, delta: delta,
		subscriptions: make(map[string]*subscription), lastNonces: make(map[string]string),
		closeCount: initial.closeCount, resendCount: initial.resendCount,
	}
	for _, url := range typeOrder {
		client.subscriptions[url] = &subscription{sent: make(map[string]int)}
	}
	for {
		current, changed := p.currentFaults()
		if err := client.respond(current); err != nil {
			return err
		}
		select {
		case <-changed:
		case request, ok := <-requests:
			if !ok {
				return nil
			}
			request.Stream = id
			p.record(request)
			client.handleRequest(request)
		}
	}
}

// respond sends the responses that the client has not received yet, subject to the current faults. An error ends the
// stream.
func (s *clientStream) respond(current faults) error {
	if current.rejectCode != codes.OK {
		return status.Error(current.rejectCode, scriptedEndMessage)
	}
	if current.closeCount != s.closeCount {
		return status.Error(current.closeCode, scriptedEndMessage)
	}
	if current.resendCount != s.resendCount && s.lastResponse != nil {
		if err := s.SendMsg(s.lastResponse); err != nil {
			return err
		}
	}
	s.resendCount = current.resendCount
	order := slices.Clone(typeOrder)
	if current.endpointsFirst {
		slices.Reverse(order)
	}
	for _, url := range order {
		if current.muted[url] { // the response is sent once the type is no longer muted
			continue
		}
		if err := s.sendType(url); err != nil {
			return err
		}
	}
	return nil
}

// sendType sends the next response of the type with a URL, unless the client is up to date.
func (s *clientStream) sendType(url string) error {
	response := s.controlPlane.nextResponse(url, s.subscriptions[url], s.delta)
	if response == nil {
		return nil
	}
	s.responses++
	s.lastNonces[url] = s.controlPlane.stampResponse(response, strconv.Itoa(s.responses))
	s.lastResponse = response
	return s.SendMsg(response)
}

// handleRequest applies the subscriptions of a request. In the state-of-the-world variant, a request for clusters is
// ignored if it answers a response other than the last response.
func (s *clientStream) handleRequest(request RecordedRequest) {
	subscribed := s.subscriptions[request.Type]
	if subscribed == nil {
		return
	}
	outdated := request.Nonce != "" && request.Nonce != s.lastNonces[request.Type]
	if outdated && !s.delta && request.Type == resource.ClusterURL {
		return
	}
	subscribed.update(request, s.delta)
}

// stampResponse sets the nonce of a response and returns the nonce, which a fault may override. If a fault overrides
// versions, it also sets the version.
func (p *ControlPlane) stampResponse(response proto.Message, nonce string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.nonceOverride != "" {
		nonce, p.faults.nonceOverride = p.faults.nonceOverride, ""
	}
	switch r := response.(type) {
	case *xdspb.DiscoveryResponse:
		r.Nonce = nonce
		if p.faults.versionOverride != "" {
			r.VersionInfo = p.faults.versionOverride
		}
	case *xdspb.DeltaDiscoveryResponse:
		r.Nonce = nonce
		if p.faults.versionOverride != "" {
			r.SystemVersionInfo = p.faults.versionOverride
		}
	}
	return nonce
}
