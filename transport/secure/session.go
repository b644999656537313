package secure

import (
	"crypto/tls"
	"sync"
)

// sessionStore holds the last session of a server process. One is enough, since each connection provides a new one.
type sessionStore struct {
	mu          sync.Mutex
	session     *tls.ClientSessionState // nil: none
	trustDigest string                  // digest of the authorities when the session was established
	ownDigest   string                  // digest of this node's certificate when the session was established
}

func (s *sessionStore) hasSession() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.session != nil
}

// sessionCache is the tls.ClientSessionCache of one handshake. It offers only a session that was established under the
// same authorities and the same certificate of this node.
type sessionCache struct {
	sessions    *sessionStore
	trustDigest string
	ownDigest   string
}

// Get returns the session to resume, and drops one that was established under other digests.
func (c *sessionCache) Get(string) (*tls.ClientSessionState, bool) {
	c.sessions.mu.Lock()
	defer c.sessions.mu.Unlock()
	if c.sessions.trustDigest != c.trustDigest || c.sessions.ownDigest != c.ownDigest {
		c.sessions.session = nil
	}
	return c.sessions.session, c.sessions.session != nil
}

// Put stores a session. A nil session removes the stored one.
func (c *sessionCache) Put(_ string, session *tls.ClientSessionState) {
	c.sessions.mu.Lock()
	defer c.sessions.mu.Unlock()
	c.sessions.session = session
	c.sessions.trustDigest = c.trustDigest
	c.sessions.ownDigest = c.ownDigest
}
