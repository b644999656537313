// Command startup measures the time of daemons from process start to readiness, and their memory while idle. With
// several daemons, each run measures every daemon once. CI does not run it.
//
//	go run ./tools/startup [-runs 20] bin/wayhold [OTHER ...]
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"cobaltward/tools/internal/benchkit"
)

const (
	// configFormat is the configuration of a node without servers. Its argument is the address to listen on.
	configFormat = `{"name":"idle","listen":%q,"discovery":"127.0.0.1:9","seed":"1",
"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[]},
"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}]}}`

	readyInterval = 200 * time.Microsecond // time between two readiness checks, which limits the resolution of the result
	readyTimeout  = 10 * time.Second
)

func main() {
	runs := flag.Int("runs", 20, "number of runs")
	idleTime := flag.Duration("rest", 300*time.Millisecond, "how long a daemon rests before its memory is read")
	flag.Parse()
	readyMS, residentMB := make(map[string][]float64), make(map[string][]float64)
	for range *runs {
		for _, daemon := range flag.Args() {
			ms, mb, err := measure(daemon, *idleTime)
			if err != nil {
				benchkit.ExitOnError("startup", fmt.Errorf("%s: %w", daemon, err))
			}
			readyMS[daemon], residentMB[daemon] = append(readyMS[daemon], ms), append(residentMB[daemon], mb)
		}
	}
	for _, daemon := range flag.Args() {
		fmt.Printf("%-28s ready after ms: %s   resident MB: %s\n",
			daemon, summarize(readyMS[daemon]), summarize(residentMB[daemon]))
	}
}

func summarize(values []float64) string {
	slices.Sort(values)
	return fmt.Sprintf("min %.1f, median %.1f, max %.1f", values[0], values[len(values)/2], values[len(values)-1])
}

// measure starts a daemon, waits until it is ready, leaves it idle for idleTime, reads its memory and kills it.
func measure(daemon string, idleTime time.Duration) (readyMS, residentMB float64, err error) {
	addr, err := benchkit.FreeAddress()
	if err != nil {
		return 0, 0, err
	}
	dir, err := os.MkdirTemp("", "startup")
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, configFormat, addr), 0o600); err != nil {
		return 0, 0, err
	}
	cmd := exec.Command(daemon)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path)
	start := time.Now()
	if err := cmd.Start(); err != nil {
		return 0, 0, err
	}
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	url := "http://" + addr + "/health/ready"
	if err := benchkit.WaitReady(http.DefaultClient, url, readyInterval, readyTimeout); err != nil {
		return 0, 0, err
	}
	readyMS = float64(time.Since(start).Microseconds()) / 1000
	time.Sleep(idleTime)
	residentMB, err = readResidentMB(cmd.Process.Pid)
	return readyMS, residentMB, err
}

// readResidentMB returns a process's resident memory in MiB.
func readResidentMB(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(raw), "VmRSS:")
	kb, err := strconv.ParseFloat(strings.Fields(after)[0], 64)
	return kb / 1024, err
}
