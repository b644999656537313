package secure

import (
	"crypto/tls"
	"sync"
)

// sessionStore holds the last session of a server process. One session is enough, since each connection provides a
// new session.
type sessionStore struct {
	mu          sync.Mutex
	session     *tls.ClientSessionState // nil: none
	trustDigest string                  // digest of the authorities when the session was established
	ownDigest   string                  // digest of the certificate of this node when the session was established
}

func (s *sessionStore) hasSession() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.session != nil
}

// sessionCache is the tls.ClientSessionCache of one handshake. It offers a session only if the authorities and the
// certificate of this node were the same when the session was established.
type sessionCache struct {
	sessions    *sessionStore
	trustDigest string
	ownDigest   string
}

// Get returns the session to resume. It drops a session that was established under other digests.
func (c *sessionCache) Get(string) (*tls.ClientSessionState, bool) {
	c.sessions.mu.Lock()
	defer c.sessions.mu.Unlock()
	if c.sessions.trustDigest != c.trustDigest || c.sessions.ownDigest != c.ownDigest {
		c.sessions.session = nil
	}
	return c.sessions.session, c.sessions.session != nil
}

// Put stores session. A nil session removes the stored session.
func (c *sessionCache) Put(_ string, session *tls.ClientSessionState) {
	c.sessions.mu.Lock()
	defer c.sessions.mu.Unlock()
	c.sessions.session = session
	c.sessions.trustDigest = c.trustDigest
	c.sessions.ownDigest = c.ownDigest
}
