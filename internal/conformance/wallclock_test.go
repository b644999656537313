package conformance

import (
	"bytes"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
)

// allowedWallClockUses maps path prefixes of code that may use wall-clock time to the reason.
var allowedWallClockUses = map[string]string{
	"discovery/registry/list.go":   "start time of a server as the registry reports it; the router bounds it by its clock",
	"discovery/xds/file_source.go": "modification time of a file, only compared for equality",
	"discovery/xds/resource/":      "start time of a server as reported by the control plane; bounded like the registry's",
	"router/clock.go":              "distinguishes processes of a server; slow start uses startTracker",
	"internal/simprotocol/":        "the simulator's protocol",
	"internal/bootclock/":          "clock that the processes of one machine share",
	"emulator/":                    "virtual time and test harnesses",
	"tools/":                       "development tools, not part of the node",
	"certificates/":                "the validity of certificates is defined in wall-clock time",
	"internal/pki/":                "validity of certificates in tests",
	"discovery/xds/standin/":       "control plane for tests",
	"internal/demo/":               "server list of the demo",
	"internal/expect/":             "virtual time",
	"fleet/":                       "orders of the fleet expire by the wall clock, see docs/terms-audit.md",
	"internal/fleetcli/":           "orders of the fleet expire by the wall clock, see docs/terms-audit.md",
	"examples/":                    "example programs, not part of the node",
	"cmd/xds-standin/":             "control plane for tests",
}

// wallClock matches code that drops the monotonic clock reading of a time, or creates a time without a monotonic
// clock reading.
var wallClock = regexp.MustCompile(`\btime\.Unix(Milli|Micro)?\(|\.Unix(Milli|Micro|Nano)\(\)|\.Round\(0\)`)

// TestWallClock_MeasuresNoDuration checks that only code in allowedWallClockUses uses the wall clock. The wall clock
// can be set at any time, so it must not measure deadlines, windows, waits or ages.
func TestWallClock_MeasuresNoDuration(t *testing.T) {
	out, err := exec.Command("git", "-C", "../..", "ls-files", "*.go").Output()
	if err != nil {
		t.Fatalf("list source files: %v", err)
	}
	for _, file := range strings.Fields(string(out)) {
		if strings.HasSuffix(file, "_test.go") || isAllowed(file) {
			continue
		}
		source, err := os.ReadFile("../../" + file)
		if err != nil {
			continue // deleted in the working tree, but not yet in git's index
		}
		for number, line := range bytes.Split(source, []byte("\n")) {
			if wallClock.Match(line) {
				t.Errorf("%s:%d: wall clock used without a listed reason: %s", file, number+1, bytes.TrimSpace(line))
			}
		}
	}
}

func isAllowed(file string) bool {
	for prefix := range allowedWallClockUses {
		if strings.HasPrefix(file, prefix) {
			return true
		}
	}
	return false
}
