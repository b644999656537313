package standalone

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/pki"
)

// writeCertificates writes a CA, a certificate, the key of the certificate, and a file that is not PEM to dir.
func writeCertificates(t *testing.T, dir string) {
	t.Helper()
	ca := pki.NewAuthority("ours")
	pair := ca.Issue(pki.Leaf{Names: []string{"a"}})
	for name, text := range map[string][]byte{
		"ca.pem": ca.PEM(), "cert.pem": pki.PEM(pair.Cert), "key.pem": pair.KeyPEM(), "bad.pem": []byte("x"),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestNodeTLS_Errors checks that errors in the table [tls], or in the files of the table, name the line or the file.
func TestNodeTLS_Errors(t *testing.T) {
	dir := t.TempDir()
	writeCertificates(t, dir)
	const base = `[[listen]]
address = "127.0.0.1:0"
[[class]]
name = "c"
deadline = "1s"
repeat = "free"
[[server]]
address = "127.0.0.1:1"
`
	const servers, clients = "[[tls.servers]]\n", "[tls.clients]\ncert = \"cert.pem\"\nkey = \"key.pem\"\n"
	const identity = "[[tenant]]\nname = \"t\"\n[[identity.layer]]\nby = \"certificate\"\nnames = {a = \"t\"}\n"
	const plainCannotBeVerified = "9: tls.servers[0]: plain: servers without TLS cannot be verified"
	const noCertificate = "tls.clients: no certificate: set cert and key, dir, or cert_sds"
	for text, want := range map[string]string{
		"[tls]\n":                                           "9: tls: neither servers, nor clients, nor door is set",
		servers:                                             "9: tls.servers[0]: trust: missing",
		servers + "trust = \"none.pem\"\n":                  "10: tls.servers[0].trust: open ",
		servers + "trust = \"bad.pem\"\n":                   "bad.pem: incomplete PEM block",
		servers + "cert = \"cert.pem\"\n":                   "10: tls.servers[0].cert: a certificate and its key go together",
		servers + "plain = true\npins = [\"a\"]\n":          plainCannotBeVerified,
		servers + "trust = \"ca.pem\"\ntrust_sds = \"x\"\n": `want either files or the secret "x", got both`,
		servers + "trust = \"ca.pem\"\ncolour = 1\n":        "11: tls.servers[0].colour: unknown key",
		clients + "require = true\n":                        "tls.clients: require: needs trust",
		"[tls.clients]\nrequire = false\n":                  noCertificate,
		"[tls]\nshare = 2.0\n" + clients:                    "10: tls.share: want 0.01 to 1",
		clients + identity:                                  "client certificates are not verified",
		servers + "trust = \"ca.pem\"\n" + clients + "trust = \"ca.pem\"\n[tls.door]\ncert_sds = \"x\"\n": "",
	} {
		path := filepath.Join(dir, "own.toml")
		if err := os.WriteFile(path, []byte(base+text), 0o600); err != nil {
			t.Fatal(err)
		}
		file, err := Load(path)
		if err == nil {
			_, err = file.NodeTLS(time.Now())
		}
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: got error %v, want %s", text, err, want)
		}
	}
}
