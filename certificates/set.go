package certificates

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"slices"
	"strings"
	"time"
)

// Sources names the files of certificates and authorities. Empty fields are not used.
type Sources struct {
	Dir       string // path of a directory in the format of LoadDir
	Cert, Key string // paths of one certificate with its chain, and of its private key
	Trust     string // path of a bundle of CA certificates
}

// Set contains the certificates and authorities that are in use together. It is immutable.
type Set struct {
	Pairs       []*Pair
	Trust       []*x509.Certificate
	Pool        *x509.CertPool // contains Trust; nil if Trust is empty
	TrustDigest string         // digest of Trust; a session verified under another digest must not be resumed
	OwnDigest   string         // digest of Pairs; a session with another certificate of this node must not be resumed

	byName map[string]*Pair
}

// Load reads all sources. Certificates must be valid at now. In a bundle of authorities, at least one must be valid
// at now.
func Load(from Sources, now time.Time) (*Set, error) {
	if (from.Cert == "") != (from.Key == "") {
		return nil, errors.New("a certificate and its key go together")
	}
	var pairs []*Pair
	if from.Cert != "" {
		pair, err := LoadPair(from.Cert, from.Key, now)
		if err != nil {
			return nil, err
		}
		pairs = append(pairs, pair)
	}
	if from.Dir != "" {
		fromDir, err := LoadDir(from.Dir, now)
		if err != nil {
			return nil, err
		}
		pairs = append(pairs, fromDir...)
	}
	var trust []*x509.Certificate
	if from.Trust != "" {
		var err error
		if trust, err = LoadTrust(from.Trust, now); err != nil {
			return nil, err
		}
	}
	return NewSet(pairs, trust), nil
}

// NewSet returns a set of the given certificates and authorities.
func NewSet(pairs []*Pair, trust []*x509.Certificate) *Set {
	set := &Set{Pairs: pairs, Trust: trust, byName: make(map[string]*Pair)}
	own := sha256.New()
	for _, pair := range pairs {
		own.Write(pair.Leaf.Raw)
		for _, name := range pair.dnsNames() {
			// During a rotation, two certificates can have the same name. The certificate that expires later is the
			// new one.
			if other := set.byName[name]; other == nil || pair.ExpiresAt().After(other.ExpiresAt()) {
				set.byName[name] = pair
			}
		}
	}
	set.OwnDigest = hex.EncodeToString(own.Sum(nil))
	if len(trust) > 0 {
		set.Pool = x509.NewCertPool()
		sum := sha256.New()
		for _, cert := range trust {
			set.Pool.AddCert(cert)
			sum.Write(cert.Raw)
		}
		set.TrustDigest = hex.EncodeToString(sum.Sum(nil))
	}
	return set
}

// PairFor returns the pair for serverName: an exact match, otherwise a wildcard match, otherwise nil. For an empty
// name, which clients without SNI have, it returns the first pair.
func (s *Set) PairFor(serverName string) *Pair {
	serverName = strings.ToLower(strings.TrimSuffix(serverName, "."))
	if pair := s.byName[serverName]; pair != nil {
		return pair
	}
	if _, parent, ok := strings.Cut(serverName, "."); ok {
		if pair := s.byName["*."+parent]; pair != nil {
			return pair
		}
	}
	if serverName == "" && len(s.Pairs) > 0 {
		return s.Pairs[0]
	}
	return nil
}

// Summary describes one certificate in status output.
type Summary struct {
	Source    string    `json:"source"`
	Names     []string  `json:"names,omitempty"`
	Serial    string    `json:"serial"`
	ExpiresAt time.Time `json:"ends"`
}

// Summaries returns a summary of each certificate and authority, by ascending expiry.
func (s *Set) Summaries() []Summary {
	var all []Summary
	for _, pair := range s.Pairs {
		all = append(all, Summary{pair.Source, pair.displayNames(), pair.Leaf.SerialNumber.Text(16), pair.ExpiresAt()})
	}
	for _, cert := range s.Trust {
		all = append(all, Summary{"authority " + cert.Subject.String(), nil, cert.SerialNumber.Text(16), cert.NotAfter})
	}
	slices.SortFunc(all, func(a, b Summary) int { return a.ExpiresAt.Compare(b.ExpiresAt) })
	return all
}
