package certificates

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Sources says where keys and trust are read from. What is empty is not used.
type Sources struct {
	Dir       string // a directory for each name
	Cert, Key string // one pair
	Trust     string // a bundle of authorities
}

// Set is what holds at one moment. It is not changed once it is made.
type Set struct {
	Pairs       []*Pair
	Trust       []*x509.Certificate
	Pool        *x509.CertPool // of Trust; nil where none is told
	TrustDigest string         // of the trust: sessions that were verified under another are not resumed
	OwnDigest   string         // of the pairs: sessions in which another was shown are not resumed

	byName map[string]*Pair
}

// Load reads all sources, as they have to hold at a moment.
func Load(from Sources, now time.Time) (*Set, error) {
	s := &Set{}
	if (from.Cert == "") != (from.Key == "") {
		return nil, errors.New("a certificate and its key go together")
	}
	if from.Cert != "" {
		p, err := LoadPair(from.Cert, from.Key, now)
		if err != nil {
			return nil, err
		}
		s.Pairs = append(s.Pairs, p)
	}
	if from.Dir != "" {
		all, err := LoadDir(from.Dir, now)
		if err != nil {
			return nil, err
		}
		s.Pairs = append(s.Pairs, all...)
	}
	var trust []*x509.Certificate
	if from.Trust != "" {
		var err error
		if trust, err = LoadTrust(from.Trust, now); err != nil {
			return nil, err
		}
	}
	return NewSet(s.Pairs, trust), nil
}

// NewSet is a set of what was read before.
func NewSet(pairs []*Pair, trust []*x509.Certificate) *Set {
	s := &Set{Pairs: pairs, Trust: trust, byName: make(map[string]*Pair)}
	own := sha256.New()
	for _, p := range pairs {
		own.Write(p.Leaf.Raw)
		for _, name := range p.names() {
			// Two certificates for one name are a rotation by two files: the one that holds for longer is meant.
			if was := s.byName[name]; was == nil || p.ExpiresAt().After(was.ExpiresAt()) {
				s.byName[name] = p
			}
		}
	}
	s.OwnDigest = hex.EncodeToString(own.Sum(nil))
	if len(trust) > 0 {
		s.Pool = x509.NewCertPool()
		sum := sha256.New()
		for _, c := range trust {
			s.Pool.AddCert(c)
			sum.Write(c.Raw)
		}
		s.TrustDigest = hex.EncodeToString(sum.Sum(nil))
	}
	return s
}

// PairFor is the pair for a name that a client asks for: its own, that of its wildcard, or the first one where the client
// names none.
func (s *Set) PairFor(name string) *Pair {
	name = strings.ToLower(strings.TrimSuffix(name, "."))
	if p := s.byName[name]; p != nil {
		return p
	}
	if _, parent, ok := strings.Cut(name, "."); ok {
		if p := s.byName["*."+parent]; p != nil {
			return p
		}
	}
	if name == "" && len(s.Pairs) > 0 {
		return s.Pairs[0]
	}
	return nil
}

// Summary is what status tells of one certificate.
type Summary struct {
	Source    string    `json:"source"`
	Names     []string  `json:"names,omitempty"`
	Serial    string    `json:"serial"`
	ExpiresAt time.Time `json:"ends"`
}

// Summaries lists the certificates, the first to end in front.
func (s *Set) Summaries() []Summary {
	var all []Summary
	for _, p := range s.Pairs {
		all = append(all, Summary{p.Source, p.shown(), p.Leaf.SerialNumber.Text(16), p.ExpiresAt()})
	}
	for _, c := range s.Trust {
		all = append(all, Summary{"authority " + c.Subject.String(), nil, c.SerialNumber.Text(16), c.NotAfter})
	}
	slices.SortFunc(all, func(a, b Summary) int { return a.ExpiresAt.Compare(b.ExpiresAt) })
	return all
}

// Store holds the set in force. Its methods may be called at once from many goroutines.
type Store struct {
	from Sources
	set  atomic.Pointer[Set]
}

// Open reads the sources for the first time.
func Open(from Sources, now time.Time) (*Store, error) {
	set, err := Load(from, now)
	if err != nil {
		return nil, err
	}
	s := &Store{from: from}
	s.set.Store(set)
	return s, nil
}

// Reload reads the sources again and puts them in force whole; on an error the former ones go on. trust tells whether
// what is trusted has changed: what was verified before has to be verified again.
func (s *Store) Reload(now time.Time) (trust bool, err error) {
	set, err := Load(s.from, now)
	if err != nil {
		return false, err
	}
	return s.set.Swap(set).TrustDigest != set.TrustDigest, nil
}

// NewEmptyStore is a store whose sets are handed to it. Until the first one it holds nothing, and trusts nobody.
func NewEmptyStore() *Store {
	s := &Store{}
	s.set.Store(NewSet(nil, nil))
	return s
}

// Replace puts a set in force.
func (s *Store) Replace(set *Set) { s.set.Store(set) }

// Set is what is in force.
func (s *Store) Set() *Set { return s.set.Load() }

// GetCertificate is tls.Config's, of a listener. The choice is made anew for each handshake, by what is in force then.
func (s *Store) GetCertificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	p := s.Set().PairFor(hello.ServerName)
	if p == nil {
		return nil, fmt.Errorf("no certificate for %q", hello.ServerName)
	}
	return &p.Cert, nil
}
