package node

import (
	"time"

	"cobaltward/certificates"
	"cobaltward/transport/secure"

	frontsecure "cobaltward/internal/frontend/secure"
)

// TLSStatus is the TLS status of a node, as the admin API sends it.
type TLSStatus struct {
	Certificates       []certificates.Summary `json:"keys"` // certificates in use, ordered by expiry within a store
	RejectedFileReason string                 `json:"refused_files,omitempty"`
	HandshakeSteps     uint64                 `json:"pieces"`  // number of computation steps of all handshakes
	HandshakeTime      time.Duration          `json:"work_ns"` // computation time of the steps, in nanoseconds
	Servers            *secure.Stats          `json:"servers,omitempty"`
	Clients            *frontsecure.Stats     `json:"clients,omitempty"`
	Msgpack            *frontsecure.Stats     `json:"msgpack,omitempty"`
	AdminAPI           *frontsecure.Stats     `json:"door,omitempty"`
}

// status returns the current status, or nil for a node without TLS.
func (s *nodeTLS) status() *TLSStatus {
	if s == nil {
		return nil
	}
	status := &TLSStatus{
		Certificates: s.certificates(),
		Clients:      layerStats(s.clientLayer),
		Msgpack:      layerStats(s.msgpackLayer),
		AdminAPI:     layerStats(s.adminLayer),
	}
	if reason := s.rejectedFileReason.Load(); reason != nil {
		status.RejectedFileReason = *reason
	}
	status.HandshakeSteps, status.HandshakeTime = s.cpuBudget.Totals()
	if s.serverLayer != nil {
		stats := s.serverLayer.Stats()
		status.Servers = &stats
	}
	return status
}

// layerStats returns the statistics of a listener's TLS layer, or nil if layer is nil.
func layerStats(layer *frontsecure.Terminator) *frontsecure.Stats {
	if layer == nil {
		return nil
	}
	stats := layer.Stats()
	return &stats
}

// certificates returns summaries of the certificates in all stores.
func (s *nodeTLS) certificates() []certificates.Summary {
	var all []certificates.Summary
	for _, store := range s.config.Stores {
		all = append(all, store.Set().Summaries()...)
	}
	return all
}
