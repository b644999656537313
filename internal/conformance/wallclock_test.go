package conformance

import (
	"bytes"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
)

// wallClockUses are the places that convert a time to wall-clock time or read one, and why no duration depends on it.
var wallClockUses = map[string]string{
	"discovery/registry/list.go":   "the start of a server as the registry names it; the router bounds it by its clock",
	"discovery/xds/file_source.go": "a time of change of a file, compared for equality alone",
	"discovery/xds/resource/":      "the start of a server as the control plane names it; the same",
	"router/clock.go":              "tells processes of a server apart; slow start goes by startTracker",
	"internal/simprotocol/":        "the simulator's protocol",
	"internal/bootclock/":          "the clock that processes of one machine share",
	"emulator/":                    "virtual time and test harnesses",
	"tools/":                       "tools, not the node",
	"certificates/":                "the validity of certificates is by the wall clock",
	"internal/pki/":                "the same, in tests",
	"discovery/xds/standin/":       "a control plane for tests",
	"internal/demo/":               "the demo's server list",
	"internal/expect/":             "virtual time",
	"fleet/":                       "see docs/terms-audit.md: orders of the fleet end by the wall clock",
	"internal/fleetcli/":           "the same",
	"examples/":                    "examples",
	"cmd/xds-standin/":             "a control plane for tests",
}

// wallClock matches code that drops the monotonic clock reading of a time, or makes a time without one.
var wallClock = regexp.MustCompile(`\btime\.Unix(Milli|Micro)?\(|\.Unix(Milli|Micro|Nano)\(\)|\.Round\(0\)`)

// TestWallClock_MeasuresNoDuration allows the wall clock only where the list has a reason for it: it may be stepped at
// any moment, and deadlines, windows, waits and ages are durations of real time.
func TestWallClock_MeasuresNoDuration(t *testing.T) {
	out, err := exec.Command("git", "-C", "../..", "ls-files", "*.go").Output()
	if err != nil {
		t.Fatalf("the list of source files: %v", err)
	}
	for _, file := range strings.Fields(string(out)) {
		if strings.HasSuffix(file, "_test.go") || isAllowed(file) {
			continue
		}
		source, err := os.ReadFile("../../" + file)
		if err != nil {
			continue // removed, and not committed yet
		}
		for number, line := range bytes.Split(source, []byte("\n")) {
			if wallClock.Match(line) {
				t.Errorf("%s:%d: %s", file, number+1, bytes.TrimSpace(line))
			}
		}
	}
}

func isAllowed(file string) bool {
	for prefix := range wallClockUses {
		if strings.HasPrefix(file, prefix) {
			return true
		}
	}
	return false
}
