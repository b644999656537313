package adminapi

import "testing"

// TestNewClient_GivesUpConnectionsAhead checks that a client closes its idle connections well before the server does: a
// POST that crosses the server's close fails.
func TestNewClient_GivesUpConnectionsAhead(t *testing.T) {
	client, _ := NewClient("/nowhere", "", nil)
	kept := client.Transport.(tokenTransport).IdleConnTimeout
	if kept <= 0 || kept > idleTimeout/2 {
		t.Errorf("idle connections are kept for %v (0: without a bound), and by the server for %v", kept, idleTimeout)
	}
}
