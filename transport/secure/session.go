package secure

import (
	"crypto/tls"
	"sync"
)

// sessionTickets holds the last session of a server process. One suffices: each connection brings a new one.
type sessionTickets struct {
	mu             sync.Mutex
	session        *tls.ClientSessionState // nil: none
	trustDigest    string                  // under which the session was established
	ownCertificate string                  // under which the session was established
}

func (s *sessionTickets) hasSession() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.session != nil
}

// sessionCache is the tls.ClientSessionCache of one handshake. It offers only a session that was established under the
// same authorities and the same certificate of this node.
type sessionCache struct {
	tickets        *sessionTickets
	trustDigest    string
	ownCertificate string
}

// Get returns the session to resume.
func (c *sessionCache) Get(string) (*tls.ClientSessionState, bool) {
	c.tickets.mu.Lock()
	defer c.tickets.mu.Unlock()
	if c.tickets.trustDigest != c.trustDigest || c.tickets.ownCertificate != c.ownCertificate {
		c.tickets.session = nil
	}
	return c.tickets.session, c.tickets.session != nil
}

// Put stores a session; nil drops the stored one.
func (c *sessionCache) Put(_ string, session *tls.ClientSessionState) {
	c.tickets.mu.Lock()
	defer c.tickets.mu.Unlock()
	c.tickets.session = session
	c.tickets.trustDigest = c.trustDigest
	c.tickets.ownCertificate = c.ownCertificate
}
