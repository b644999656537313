// Package bootclock provides times that the processes of one machine can compare even if its wall clock is stepped.
// Each time is the time since the start of the machine, with an ID of that start.
package bootclock

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile is the file with the ID that the kernel generates at each start of the machine.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Time is a time since the start of the machine. The zero value means unknown.
type Time struct {
	BootID    string        `json:"boot,omitempty"`
	SinceBoot time.Duration `json:"ns,omitempty"`
}

// Now returns the current time, or the zero value if the system does not provide it.
func Now() Time {
	id := bootID()
	var now unix.Timespec
	if id == "" || unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return Time{}
	}
	return Time{BootID: id, SinceBoot: time.Duration(now.Nano())}
}

// Sub returns the time from earlier to t. ok is false if a time is unknown, or if the times are of different starts
// of the machine.
func (t Time) Sub(earlier Time) (span time.Duration, ok bool) {
	if t.BootID == "" || t.BootID != earlier.BootID {
		return 0, false
	}
	return t.SinceBoot - earlier.SinceBoot, true
}

var bootID = sync.OnceValue(func() string {
	raw, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
})
