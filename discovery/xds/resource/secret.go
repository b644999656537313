package resource

import (
	"errors"
	"fmt"
	"time"

	"cobaltward/discovery/xds/xdspb"
	"cobaltward/keys"
)

// SecretURL names certificates and authorities that a control plane hands out.
const SecretURL = "type.googleapis.com/envoy.extensions.transport_sockets.tls.v3.Secret"

// ParseSecret reads a secret, as it has to hold at a moment: by the same rules as files. What it names by the path of
// a file, or by a variable of this process, is refused: a control plane does not choose what a node reads.
func ParseSecret(p *xdspb.Secret, now time.Time) (*keys.Set, error) {
	source := "secret " + p.GetName()
	switch t := p.GetType().(type) {
	case *xdspb.Secret_TlsCertificate:
		chain, err := inlineData("tls_certificate.certificate_chain", t.TlsCertificate.GetCertificateChain())
		if err != nil {
			return nil, err
		}
		key, err := inlineData("tls_certificate.private_key", t.TlsCertificate.GetPrivateKey())
		if err != nil {
			return nil, err
		}
		pair, err := keys.PairOf(source, chain, key, now)
		if err != nil {
			return nil, err
		}
		return keys.NewSet([]*keys.Pair{pair}, nil), nil
	case *xdspb.Secret_ValidationContext:
		raw, err := inlineData("validation_context.trusted_ca", t.ValidationContext.GetTrustedCa())
		if err != nil {
			return nil, err
		}
		trust, err := keys.TrustOf(source, raw, now)
		if err != nil {
			return nil, err
		}
		return keys.NewSet(nil, trust), nil
	}
	return nil, errors.New("type: want tls_certificate or validation_context")
}

func inlineData(field string, d *xdspb.DataSource) ([]byte, error) {
	switch s := d.GetSpecifier().(type) {
	case *xdspb.DataSource_InlineBytes:
		return s.InlineBytes, nil
	case *xdspb.DataSource_InlineString:
		return []byte(s.InlineString), nil
	}
	return nil, fmt.Errorf("%s: want inline_bytes or inline_string", field)
}
