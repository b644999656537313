package script

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// errorCase is a change that makes a valid script invalid.
type errorCase struct {
	change func(string) string
	line   int      // line number in the error; 0: not checked
	want   []string // texts that the error must contain
}

// validScript returns the text of a script that Parse accepts.
func validScript(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../scenarios/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse("calm.toml", text); err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// fault returns a function that appends a fault with the given lines to a script.
func fault(lines ...string) func(string) string {
	return func(s string) string { return s + "\n[[fault]]\n" + strings.Join(lines, "\n") }
}

// edit returns a function that replaces the first occurrence of a text in a script.
func edit(from, to string) func(string) string {
	return func(s string) string { return strings.Replace(s, from, to, 1) }
}

// check parses the changed script and requires the expected error. The error must be a single line that starts with
// the file's name.
func (c *errorCase) check(t *testing.T, valid string) {
	t.Helper()
	text := c.change(valid)
	if text == valid {
		t.Fatal("the change left the script as it was")
	}
	_, err := Parse("x.toml", []byte(text))
	if err == nil {
		t.Fatal("Parse accepted an invalid script")
	}
	got := err.Error()
	if strings.Contains(got, "\n") || !strings.HasPrefix(got, "x.toml:") {
		t.Errorf("error %q is not one line that begins with the file's name", got)
	}
	if c.line > 0 && !strings.HasPrefix(got, "x.toml:"+strconv.Itoa(c.line)+":") {
		t.Errorf("error %q does not name line %d", got, c.line)
	}
	for _, want := range c.want {
		if !strings.Contains(got, want) {
			t.Errorf("error %q does not contain %q", got, want)
		}
	}
}

func TestParse_ErrorsNameLineAndKey(t *testing.T) {
	valid := validScript(t)
	for name, test := range map[string]errorCase{
		"not TOML":    {edit("seed = 3", "seed = = 3"), 3, nil},
		"unknown key": {edit("seed = 3", "sede = 3"), 3, []string{"sede: unknown key; allowed are title, base, seed"}},
		"unknown in table": {
			edit("retries = 2", "tries = 2"),
			0,
			[]string{"clients.tries: unknown key; allowed are retries"},
		},
		"type":     {edit("seed = 3", `seed = "3"`), 3, []string{"seed: want a whole number", `got "3"`}},
		"no unit":  {edit(`"40s"`, "40"), 4, []string{`length: want a time with its unit`}},
		"too long": {edit(`"40s"`, `"2h"`), 4, []string{`length: want 100ms to 1h, got "2h"`}},
		"range":    {edit("speed = [1.5, 2.1]", "speed = [2.1, 1.5]"), 0, []string{"kind[0].speed", "the lower one first"}},
		"word": {
			edit(`repeat = "never"`, `repeat = "maybe"`),
			0,
			[]string{"class[1].repeat: want one of free, guarded, never"},
		},
		"missing":          {edit("rate = 380\n", ""), 0, []string{"traffic: rate: missing"}},
		"window":           {edit(`window = "4s"`, ""), 0, []string{"class[2]: window: missing"}},
		"share of classes": {edit("share = 0.3\n", "share = 0.4\n"), 0, []string{"add up to 1.1, want 1"}},
		"share over one":   {edit("share = 0.43", "share = 1.43"), 0, []string{"tenant[0].share: want 0 to 1, got 1.43"}},
		"duplicate name": {
			edit(`"kancel-presov"`, `"dielna-bystrica"`),
			0,
			[]string{`tenant[1].name: duplicate name "dielna-bystrica"`},
		},
		"zone": {
			edit("[traffic]", "[traffic]\nzones = {zvolen = 1.0}"),
			0,
			[]string{"traffic.zones.zvolen: unknown zone; there are bystrica, presov, nitra"},
		},
		"base": {edit("seed = 3", "base = \"none.toml\""), 1, []string{"base"}},
	} {
		t.Run(name, func(t *testing.T) { test.check(t, valid) })
	}
}

func TestParse_ErrorsOfFaults(t *testing.T) {
	valid := validScript(t)
	last := strings.Count(valid, "\n")
	for name, test := range map[string]errorCase{
		"fault kind": {
			fault(`kind = "flood"`, `at = "1s"`),
			last + 3,
			[]string{"fault[0].kind: want one of costly, crash", `got "flood"`},
		},
		"fault key": {
			fault(`kind = "hung"`, `at = "1s"`, `for = "1s"`, `count = 1`, `part = 0.5`),
			last + 7,
			[]string{"not allowed for hung; allowed are name, at, for, servers, count"},
		},
		"fault needs": {
			fault(`kind = "slow"`, `at = "1s"`, `for = "1s"`, `count = 1`),
			last + 2,
			[]string{"factor: missing; slow needs it"},
		},
		"no selection": {
			fault(`kind = "hung"`, `at = "1s"`, `for = "1s"`),
			0,
			[]string{"select servers by exactly one of servers, count and share"},
		},
		"no such server": {
			fault(`kind = "hung"`, `at = "1s"`, `for = "1s"`, `servers = ["s-0001", "s-0099"]`),
			last + 6,
			[]string{`servers[1]: there is no server "s-0099"; there are s-0001, s-0002, ..., s-0019`},
		},
		"no such node": {
			fault(`kind = "node-crash"`, `at = "1s"`, `for = "1s"`, `nodes = ["n9"]`),
			0,
			[]string{`there is no node "n9"; there are n1, n2, n3`},
		},
		"after the end": {
			fault(`kind = "hung"`, `at = "50s"`, `for = "1s"`, `count = 1`),
			0,
			[]string{"fault[0].at: want before the end at 40s"},
		},
		"fault share": {
			fault(`kind = "hung"`, `at = "5s"`, `for = "1s"`, `share = 1.2`),
			0,
			[]string{"fault[0].share: want 0 to 1, got 1.2"},
		},
		"overlap at a server": {
			fault(`kind = "crash"`, `at = "5s"`, `for = "9s"`, `servers = ["s-0001"]`,
				`[[fault]]`, `kind = "drain"`, `at = "6s"`, `for = "2s"`, `servers = ["s-0001"]`),
			last + 11,
			[]string{"drain at s-0001 overlaps crash of line", "from 5s to 14s"},
		},
		"overlap of discovery": {
			fault(`kind = "discovery-down"`, `at = "5s"`, `for = "9s"`,
				`[[fault]]`, `kind = "discovery-down"`, `at = "6s"`, `for = "2s"`),
			0,
			[]string{"overlaps discovery-down of line"},
		},
	} {
		t.Run(name, func(t *testing.T) { test.check(t, valid) })
	}
}
