package resource

import (
	"errors"
	"fmt"
	"time"

	"cobaltward/certificates"
	"cobaltward/discovery/xds/xdspb"
)

// ParseSecret validates a secret by the rules for certificate files. The secret is a certificate with its key, or a
// list of authorities. Validity periods are checked at now. Only inline data is accepted, because a control plane
// must not choose which files or environment variables a node reads.
func ParseSecret(message *xdspb.Secret, now time.Time) (*certificates.Set, error) {
	source := "secret " + message.GetName()
	switch secret := message.GetType().(type) {
	case *xdspb.Secret_TlsCertificate:
		return parseCertificate(source, secret.TlsCertificate, now)
	case *xdspb.Secret_ValidationContext:
		return parseAuthorities(source, secret.ValidationContext, now)
	default:
		return nil, errors.New("type: want tls_certificate or validation_context")
	}
}

func parseCertificate(source string, message *xdspb.TlsCertificate, now time.Time) (*certificates.Set, error) {
	chain, err := inlineData("tls_certificate.certificate_chain", message.GetCertificateChain())
	if err != nil {
		return nil, err
	}
	key, err := inlineData("tls_certificate.private_key", message.GetPrivateKey())
	if err != nil {
		return nil, err
	}
	pair, err := certificates.ParsePair(source, chain, key, now)
	if err != nil {
		return nil, err
	}
	return certificates.NewSet([]*certificates.Pair{pair}, nil), nil
}

func parseAuthorities(
	source string, message *xdspb.CertificateValidationContext, now time.Time,
) (*certificates.Set, error) {
	raw, err := inlineData("validation_context.trusted_ca", message.GetTrustedCa())
	if err != nil {
		return nil, err
	}
	trust, err := certificates.ParseTrust(source, raw, now)
	if err != nil {
		return nil, err
	}
	return certificates.NewSet(nil, trust), nil
}

// inlineData returns the inline data of a field. It rejects references to files and environment variables.
func inlineData(field string, source *xdspb.DataSource) ([]byte, error) {
	switch data := source.GetSpecifier().(type) {
	case *xdspb.DataSource_InlineBytes:
		return data.InlineBytes, nil
	case *xdspb.DataSource_InlineString:
		return []byte(data.InlineString), nil
	default:
		return nil, fmt.Errorf("%s: want inline_bytes or inline_string", field)
	}
}
