package cli

import (
	"strings"
	"testing"
)

func TestCertsCheck_Errors(t *testing.T) {
	for want, args := range map[string][]string{
		"nothing to check":             {"certs", "check"},
		`--as-of: want a day`:          {"certs", "check", "--cert", "a", "--key", "b", "--as-of", "soon"},
		"a certificate and its key go": {"certs", "check", "--cert", "a"},
		"none/ca.pem: no such file":    {"certs", "check", "--trust", "none/ca.pem"},
	} {
		if _, err := run(t, args...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: %v", args, err)
		}
	}
}
