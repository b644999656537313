package standalone

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/pki"
)

// What is wrong with the table [tls], or with the files that it names, is one line that names the line or the file.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	ca := pki.Year("ours")
	p := ca.Issue(pki.Leaf{Names: []string{"a"}})
	for name, text := range map[string][]byte{"ca.pem": ca.PEM(), "cert.pem": pki.PEM(p.Cert), "key.pem": p.KeyPEM(), "bad.pem": []byte("x")} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const base = "[[listen]]\naddress = \"127.0.0.1:0\"\n[[class]]\nname = \"c\"\ndeadline = \"1s\"\nrepeat = \"free\"\n[[server]]\naddress = \"127.0.0.1:1\"\n"
	const servers, clients = "[[tls.servers]]\n", "[tls.clients]\ncert = \"cert.pem\"\nkey = \"key.pem\"\n"
	for text, want := range map[string]string{
		"[tls]\n":                                           "9: tls: neither servers, nor clients, nor the door",
		servers:                                             "9: tls.servers[0]: trust: missing",
		servers + "trust = \"none.pem\"\n":                  "10: tls.servers[0].trust: open ",
		servers + "trust = \"bad.pem\"\n":                   "bad.pem: it ends in the midst of a block",
		servers + "cert = \"cert.pem\"\n":                   "10: tls.servers[0].cert: a certificate and its key go together",
		servers + "plain = true\npins = [\"a\"]\n":          "9: tls.servers[0]: plain: servers without TLS cannot be verified",
		servers + "trust = \"ca.pem\"\ntrust_sds = \"x\"\n": `want either files or the secret "x", got both`,
		servers + "trust = \"ca.pem\"\ncolour = 1\n":        "11: tls.servers[0].colour: unknown key",
		clients + "require = true\n":                        "tls.clients: require: by which authorities",
		"[tls.clients]\nrequire = false\n":                  "tls.clients: no certificate: name cert and key, dir, or cert_sds",
		"[tls]\nshare = 2.0\n" + clients:                    "10: tls.share: want 0.01 to 1",
		clients + "[[tenant]]\nname = \"t\"\n[[identity.layer]]\nby = \"certificate\"\nnames = {a = \"t\"}\n": "nobody checks certificates of clients",
		servers + "trust = \"ca.pem\"\n" + clients + "trust = \"ca.pem\"\n[tls.door]\ncert_sds = \"x\"\n":     "",
	} {
		file := filepath.Join(dir, "own.toml")
		if err := os.WriteFile(file, []byte(base+text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := Load(file)
		if err == nil {
			_, err = f.NodeTLS(time.Now())
		}
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}
