package xds

import (
	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/xdspb"
)

const (
	// maxErrorDetail is the maximum length of the reason in a NACK, in bytes.
	maxErrorDetail = 4096
	// codeInvalidArgument is the code INVALID_ARGUMENT of google.rpc.Code.
	codeInvalidArgument = 3
)

// encodeSotW returns a request as a message of the state-of-the-world variant.
func encodeSotW(request ads.Request, node *xdspb.Node) *xdspb.DiscoveryRequest {
	message := &xdspb.DiscoveryRequest{
		VersionInfo:   request.Version,
		ResourceNames: request.ResourceNames,
		TypeUrl:       typeURLs[request.Type],
		ResponseNonce: request.Nonce,
		ErrorDetail:   errorDetail(request.ErrorDetail),
	}
	if request.IncludeNode {
		message.Node = node
	}
	return message
}

// encodeDelta returns a request as a message of the incremental variant.
func encodeDelta(request ads.Request, node *xdspb.Node) *xdspb.DeltaDiscoveryRequest {
	message := &xdspb.DeltaDiscoveryRequest{
		TypeUrl:                  typeURLs[request.Type],
		ResourceNamesSubscribe:   request.Subscribe,
		ResourceNamesUnsubscribe: request.Unsubscribe,
		InitialResourceVersions:  request.InitialVersions,
		ResponseNonce:            request.Nonce,
		ErrorDetail:              errorDetail(request.ErrorDetail),
	}
	if request.IncludeNode {
		message.Node = node
	}
	return message
}

// errorDetail returns the error_detail of a NACK with the given reason. For an ACK, whose reason is empty, it returns
// nil.
func errorDetail(reason string) *xdspb.Status {
	if reason == "" {
		return nil
	}
	return &xdspb.Status{Code: codeInvalidArgument, Message: reason[:min(len(reason), maxErrorDetail)]}
}
