package cli

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cobaltward/internal/pki"
)

func TestCertsCheck_Errors(t *testing.T) {
	for want, args := range map[string][]string{
		"nothing to check":             {"certs", "check"},
		`--as-of: want a day`:          {"certs", "check", "--cert", "a", "--key", "b", "--as-of", "soon"},
		"a certificate and its key go": {"certs", "check", "--cert", "a"},
		"none/ca.pem: no such file":    {"certs", "check", "--trust", "none/ca.pem"},
	} {
		if _, err := run(t, args...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: error %v", args, err)
		}
	}
}

// TestCertsCheck_Expiring checks that certificates that expire within the --within duration give errExpiring. The
// error has its own text, not the text of an unserved request.
func TestCertsCheck_Expiring(t *testing.T) {
	dir := t.TempDir()
	leaf := pki.NewAuthority("front").Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for name, text := range map[string][]byte{cert: pki.PEM(leaf.Cert), key: leaf.KeyPEM()} {
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	_, err := run(t, "certs", "check", "--cert", cert, "--key", key, "--within", "876000h")
	if !errors.Is(err, errExpiring) || strings.Contains(err.Error(), "served") {
		t.Errorf("wrong error: %v", err)
	}
}
