package multiprocess

import (
	"fmt"
	"os"
	"strings"
)

// zones is the number of zones over which nodes are spread.
const zones = 3

// writeConfig writes the settings file of a replica or an agent.
func (p *process) writeConfig() error {
	var text strings.Builder
	script := p.harness.script
	fmt.Fprintf(&text, "[fleet]\nname = %q\nlisten = %q\naddress = %q\n", p.name, listenAddress, canonicalAddress(p.name))
	fmt.Fprintf(&text, "token_file = %q\ndir = %q\n", p.harness.path(tokenFile), p.dir)
	fmt.Fprintf(&text, "lease = %q\ntick = %q\ntimeout = \"10s\"\n", script.Lease, script.Tick)
	var replicas []string
	for _, name := range script.replicaNames() {
		replicas = append(replicas, fmt.Sprintf("%q", canonicalAddress(name)))
	}
	if len(replicas)%2 == 1 {
		fmt.Fprintf(&text, "council = [%s]\n", strings.Join(replicas, ", "))
	}
	if p.role == roleAgent {
		p.writeAgentConfig(&text)
	}
	text.WriteString("[fleet.via]\n")
	for ends, proxy := range p.harness.proxies {
		if ends.from == p.name {
			fmt.Fprintf(&text, "%q = %q\n", canonicalAddress(ends.to), proxy.address)
		}
	}
	if p.role == roleAgent {
		fmt.Fprintf(&text, "[door]\nsocket = %q\n", p.harness.socket(p.name))
	}
	return os.WriteFile(p.configPath(), []byte(text.String()), 0o600)
}

// writeAgentConfig writes an agent's zone, the leases that it may hold, and the commands that patch its node.
func (p *process) writeAgentConfig(text *strings.Builder) {
	script, number := p.harness.script, processNumber(p.name)
	fmt.Fprintf(text, "zone = \"z%d\"\n", (number-1)%zones)
	if script.LeaseCandidates == 0 || number <= script.LeaseCandidates {
		text.WriteString("owns = [\"round\"]\n")
	}
	for key, role := range map[string]string{"patch": rolePatch, "look": roleVerify, "revert": rolePatch} {
		fmt.Fprintf(text, "%s = [\"/usr/bin/env\", \"%s=%s\", \"%s=%s\"",
			key, roleEnv, role, checkerEnv, p.harness.checker.listener.Addr())
		for _, argument := range p.harness.options.Command {
			fmt.Fprintf(text, ", %q", argument)
		}
		text.WriteString("]\n")
	}
}

// nodeConfig is the settings file of a real node without the list of servers. The format arguments are the node's
// name and the path of its admin API socket.
const nodeConfig = `[[listen]]
address = "127.0.0.1:0"
[node]
name = %q
[door]
socket = %q
[drain]
leave = "500ms"
[[class]]
name = "search"
repeat = "free"
aim = "300ms"
deadline = "3s"
[[class]]
name = "book"
repeat = "never"
aim = "500ms"
deadline = "1500ms"
[[route]]
methods = ["GET"]
class = "search"
[[route]]
methods = ["POST"]
class = "book"
`
