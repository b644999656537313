package adminapi

import "testing"

// TestNewClient_ClosesIdleConnectionsBeforeServer checks that a client closes its idle connections well before the
// server does. A POST fails if the server closes the connection while the client sends it.
func TestNewClient_ClosesIdleConnectionsBeforeServer(t *testing.T) {
	client, _ := NewClient("/nowhere", "", nil)
	kept := client.Transport.(tokenTransport).IdleConnTimeout
	if kept <= 0 || kept > idleTimeout/2 {
		t.Errorf("the client keeps idle connections for %v (0: without a limit), the server for %v", kept, idleTimeout)
	}
}
