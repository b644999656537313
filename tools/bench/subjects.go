package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"cobaltward/tools/internal/benchkit"
)

// settings are the request classes, capabilities and rules of the daemons and the middleware.
const settings = `{"position":0,"groupSize":1,"zone":"a",
"services":[{"name":"read","aim":4000,"deadline":9000,"repeat":"free"}],
"limits":{"cancelling":true,"connIdle":60000,"connectTimeout":2000,"maxAttempts":3,"retryAfter":true},
"guarantees":{"drainGrace":500,"cold":1,"coldShare":0.5,"fallMultiple":3,"overloadFor":1000}}`

// nodeConfig returns the configuration of the daemons and the middleware, including the complete endpoint list.
func nodeConfig(servers []string) []byte {
	members := make([]string, 0, len(servers))
	for i, addr := range servers {
		members = append(members, fmt.Sprintf(`{"id":"s%d","host_port":%q,"locality":"a","phase":"up"}`, i, addr))
	}
	return fmt.Appendf(nil, `{"name":"bench","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},
"known":{"revision":1,"complete":true,"members":[%s]},"settings":%s}`,
		strings.Join(members, ","), settings)
}

// subject is one of the measured processes.
type subject struct {
	name string
	addr string
	cmd  *exec.Cmd
}

// startSubjects starts the proxy, the daemons and, without TLS, the middleware. The proxy comes first, because the
// ratios in the report refer to the first subject. If a subject fails to start, startSubjects returns the running
// subjects with the error.
func startSubjects(opts options, self, dir, config string, servers []string) (subjects []*subject, err error) {
	start := func(name string, cmd *exec.Cmd) error {
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "GOMAXPROCS=1")
		addrs, err := benchkit.StartAnnounced(cmd, 1)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		subjects = append(subjects, &subject{name: name, addr: addrs[0], cmd: cmd})
		return nil
	}
	if err := start("proxy", exec.Command(self, append([]string{"as-proxy"}, servers...)...)); err != nil {
		return subjects, err
	}
	for _, daemon := range opts.daemons {
		cmd := exec.Command(daemon)
		if opts.tls {
			cmd = exec.Command(daemon, "--config", filepath.Join(dir, ownConfigFile))
		}
		if err := start(daemon, cmd); err != nil {
			return subjects, err
		}
	}
	if opts.tls {
		return subjects, nil
	}
	return subjects, start("middleware", exec.Command(self, "as-middleware", opts.profile))
}
