package xds

import (
	"context"
	"errors"
	"sync"
	"time"

	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/router"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

const (
	sotwMethod  = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
	deltaMethod = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"

	// sendTimeout is the maximum time for which a control plane that reads no requests may block the sender.
	sendTimeout = 15 * time.Second
)

// Reasons for which the client ends a stream.
var (
	errPreferredAvailable = errors.New("a preferred control plane is available again")
	errNoResponse         = errors.New("no response to the first request in time")
	errSendTimeout        = errors.New("the control plane did not read requests in time")
)

// stream is one gRPC call of either variant of the protocol.
type stream struct {
	grpc.ClientStream
	delta bool
	node  *xdspb.Node
}

// openStream opens a stream on conn. The stream ends when ctx ends.
func openStream(ctx context.Context, conn *grpc.ClientConn, delta bool, node *xdspb.Node) (stream, error) {
	method := sotwMethod
	if delta {
		method = deltaMethod
	}
	call, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, method)
	return stream{call, delta, node}, err
}

func (s stream) send(request ads.Request) error {
	if s.delta {
		return s.SendMsg(encodeDelta(request, s.node))
	}
	return s.SendMsg(encodeSotW(request, s.node))
}

// receive returns the next response. It skips responses of types that are never subscribed to.
func (s stream) receive() (ads.Response, error) {
	for {
		response, known, err := s.receiveAny()
		if err != nil || known {
			return response, err
		}
	}
}

// receiveAny returns the next response, and reports whether its type is known.
func (s stream) receiveAny() (response ads.Response, known bool, err error) {
	if s.delta {
		var message xdspb.DeltaDiscoveryResponse
		if err := s.RecvMsg(&message); err != nil {
			return ads.Response{}, false, err
		}
		response, known = decodeDelta(&message)
		return response, known, nil
	}
	var message xdspb.DiscoveryResponse
	if err := s.RecvMsg(&message); err != nil {
		return ads.Response{}, false, err
	}
	response, known = decodeSotW(&message)
	return response, known, nil
}

// receiveAll sends each received response to responses until ctx ends or the stream fails. It sends the error of a
// failed stream to failed.
func (s stream) receiveAll(ctx context.Context, responses chan<- ads.Response, failed chan<- error) {
	for {
		response, err := s.receive()
		if err != nil {
			failed <- err
			return
		}
		select {
		case responses <- response:
		case <-ctx.Done():
			return
		}
	}
}

// streamError returns the reason for which the client ended the stream. If the client did not end the stream, it
// returns err.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// streamRun is one stream of a source, from its opening to its end. Only the goroutine of Source.Run uses a
// streamRun.
type streamRun struct {
	source        *Source
	stream        stream
	cancel        context.CancelCauseFunc // ends the stream
	serverIndex   int
	preferred     *grpc.ClientConn // connection to the preferred control plane; nil if the stream uses it
	publish       func(router.EndpointUpdate)
	responseTimer *time.Timer // ends the stream if the first response is late
	expiryTimer   *time.Timer // fires at the end of the next TTL
	answered      bool        // whether a response has been received
}

// runStream runs one stream on conn until the stream ends. answered reports whether any response was received on the
// stream. preferred is the connection to the preferred control plane, or nil if conn is that connection.
func (s *Source) runStream(
	ctx context.Context, conn, preferred *grpc.ClientConn, index int, publish func(router.EndpointUpdate),
) (answered bool, _ error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A control plane that accepts streams and never answers must not block the source. Another control plane may be
	// available.
	responseTimer := time.AfterFunc(s.config.responseTimeout, func() { cancel(errNoResponse) })
	defer responseTimer.Stop()
	opened, err := openStream(ctx, conn, s.config.Delta, s.config.Node)
	if err != nil {
		return false, streamError(ctx, err)
	}
	responses, failed := make(chan ads.Response), make(chan error, 1)
	var receiving sync.WaitGroup
	defer receiving.Wait()
	defer cancel(nil) // ends the receiving goroutine
	receiving.Go(func() { opened.receiveAll(ctx, responses, failed) })
	run := &streamRun{
		source: s, stream: opened, cancel: cancel, serverIndex: index, preferred: preferred, publish: publish,
		responseTimer: responseTimer, expiryTimer: time.NewTimer(0),
	}
	defer run.expiryTimer.Stop()
	if err := run.send(s.streamOpened(index)); err != nil {
		return false, streamError(ctx, err)
	}
	err = run.loop(ctx, responses, failed)
	return run.answered, streamError(ctx, err)
}

// loop handles the events of the stream until it ends.
func (r *streamRun) loop(ctx context.Context, responses <-chan ads.Response, failed <-chan error) error {
	var failback <-chan time.Time
	if r.preferred != nil {
		ticker := time.NewTicker(r.source.config.failbackInterval)
		defer ticker.Stop()
		failback = ticker.C
	}
	for {
		select {
		case response := <-responses:
			if err := r.handle(response); err != nil {
				return err
			}
		case <-r.expiryTimer.C:
			r.expire()
		case <-failback:
			// A working stream is kept until the connection to the preferred control plane is ready. If the
			// stream ended earlier, neither control plane would deliver drains while the connection is being
			// established.
			if r.preferred.GetState() == connectivity.Ready {
				return errPreferredAvailable
			}
			r.preferred.Connect()
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handle applies a response, publishes the changes and answers the response.
func (r *streamRun) handle(response ads.Response) error {
	r.responseTimer.Stop()
	if !r.answered {
		r.source.log.Info("xds: connected to the control plane", "address", r.source.config.Servers[r.serverIndex].Addr)
	}
	r.answered = true
	result := r.source.handleResponse(response)
	if result.nackReason != "" {
		r.source.log.Error("xds: refused",
			"type", typeURLs[response.Type], "version", response.Version, "reason", result.nackReason)
	}
	if result.update != nil {
		r.publish(*result.update)
	}
	if err := r.send(result.requests); err != nil {
		return err
	}
	r.expiryTimer.Reset(0)
	return nil
}

// expire removes resources whose TTL has passed and sets the timer for the next TTL.
func (r *streamRun) expire() {
	update, next := r.source.expireResources()
	if update != nil {
		r.source.log.Error("xds: resources were not renewed within their TTL", "servers", len(update.Endpoints))
		r.publish(*update)
	}
	if !next.IsZero() {
		r.expiryTimer.Reset(time.Until(next))
	}
}

// send sends requests. It ends the stream if the control plane does not read the requests within sendTimeout.
func (r *streamRun) send(requests []ads.Request) error {
	timer := time.AfterFunc(sendTimeout, func() { r.cancel(errSendTimeout) })
	defer timer.Stop()
	for _, request := range requests {
		if err := r.stream.send(request); err != nil {
			return err
		}
	}
	return nil
}
