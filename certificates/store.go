package certificates

import (
	"crypto/tls"
	"fmt"
	"sync/atomic"
	"time"
)

// Store holds the Set in use. It is safe for concurrent use.
type Store struct {
	sources Sources
	set     atomic.Pointer[Set]
}

// Open loads a set from the sources and returns a store with this set.
func Open(from Sources, now time.Time) (*Store, error) {
	set, err := Load(from, now)
	if err != nil {
		return nil, err
	}
	store := &Store{sources: from}
	store.set.Store(set)
	return store, nil
}

// NewEmptyStore returns a store without sources. Until the first call of Replace, the store has no certificate and
// trusts no authority.
func NewEmptyStore() *Store {
	store := &Store{}
	store.set.Store(NewSet(nil, nil))
	return store
}

// Reload reads the sources again and replaces the set. After an error, the current set stays in use. trustChanged
// reports whether the trusted authorities have changed. If they have, peers must be verified again.
func (s *Store) Reload(now time.Time) (trustChanged bool, err error) {
	set, err := Load(s.sources, now)
	if err != nil {
		return false, err
	}
	return s.set.Swap(set).TrustDigest != set.TrustDigest, nil
}

// Replace puts set into use.
func (s *Store) Replace(set *Set) { s.set.Store(set) }

// Set returns the set in use.
func (s *Store) Set() *Set { return s.set.Load() }

// GetCertificate is the GetCertificate callback of a listener's tls.Config. It selects the certificate from the set
// in use at the time of the handshake.
func (s *Store) GetCertificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	pair := s.Set().PairFor(hello.ServerName)
	if pair == nil {
		return nil, fmt.Errorf("no certificate for %q", hello.ServerName)
	}
	return &pair.Cert, nil
}
