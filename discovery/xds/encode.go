package xds

import (
	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/xdspb"
)

const (
	// maxErrorDetail bounds the reason that a NACK carries, in bytes.
	maxErrorDetail = 4096
	// codeInvalidArgument is google.rpc.Code INVALID_ARGUMENT.
	codeInvalidArgument = 3
)

// encodeSotW is a request of the state-of-the-world variant.
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

// encodeDelta is a request of the incremental variant.
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

// errorDetail is the reason of a NACK; nil for an ACK.
func errorDetail(reason string) *xdspb.Status {
	if reason == "" {
		return nil
	}
	return &xdspb.Status{Code: codeInvalidArgument, Message: reason[:min(len(reason), maxErrorDetail)]}
}
