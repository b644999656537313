package standalone

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestLoad_FleetErrors checks that each error in the table [fleet] has the right text.
func TestLoad_FleetErrors(t *testing.T) {
	const valid = `[fleet]
name = "n1"
listen = "127.0.0.1:7600"
token_file = "/etc/token"
dir = "/var/lib/fleet"
`
	for _, test := range []struct{ add, want string }{
		{"", ""},
		{
			`council = ["10.0.0.1:1", "10.0.0.2:1"]`,
			`6: fleet.council: want 1, 3 or 5 replicas, got 2: an even number tolerates no more failures than one less`,
		},
		{
			`council = ["10.0.0.1:1", "10.0.0.1:1", "10.0.0.2:1"]`,
			`6: fleet.council: 10.0.0.1:1 is listed twice`,
		},
		{`council = ["ten:1"]`, `6: fleet.council: want IP:port, got "ten:1"`},
		{`owns = ["patch"]`, `6: fleet.owns[0]: want one of round, got "patch"`},
		{
			`lease = "1s"`,
			`6: fleet.lease: want at least 20 ticks, 2s: an election takes up to that, ` +
				`and no lease can be renewed meanwhile; got 1s`,
		},
		{
			`patch = ["/bin/true"]`,
			`6: fleet.patch: look is missing beside it: ` +
				`after a crash the agent could not tell whether the command has run`,
		},
		{"via = {\"10.0.0.1:1\" = \"x\"}", `6: fleet.via: want IP:port, got "x"`},
		{
			"[[listen]]\naddress = \"127.0.0.1:7600\"",
			`3: fleet.listen: 127.0.0.1:7600 is the address of the node's listener ([[listen]])`,
		},
		{"zones = 3", `6: fleet.zones: unknown key; allowed are name, zone, `},
	} {
		path := filepath.Join(t.TempDir(), "own.toml")
		if err := os.WriteFile(path, []byte(valid+test.add+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		got := ""
		if err != nil {
			got = strings.TrimPrefix(err.Error(), path+":")
		}
		isPrefix := strings.HasSuffix(test.want, ", ")
		if got != test.want && (!isPrefix || !strings.HasPrefix(got, test.want)) {
			t.Errorf("%s:\ngot\n%s\nwant\n%s", test.add, got, test.want)
		}
	}
}
