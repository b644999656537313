package fleetcli

import (
	"slices"
	"testing"

	"github.com/spf13/cobra"
)

// commandPaths returns all descendants of a command by path. A path is the names of the commands that lead to the
// descendant, joined with spaces.
func commandPaths(command *cobra.Command) map[string]*cobra.Command {
	paths := make(map[string]*cobra.Command)
	for _, child := range command.Commands() {
		paths[child.Name()] = child
		for rest, grandchild := range commandPaths(child) {
			paths[child.Name()+" "+rest] = grandchild
		}
	}
	return paths
}

// TestRootCommand_KeepsDocumentedCommands checks that the commands and flags that documentation and scripts use keep
// their names.
func TestRootCommand_KeepsDocumentedCommands(t *testing.T) {
	paths := commandPaths(rootCommand(TestHooks{}))
	for path, flags := range map[string][]string{
		"council": nil, "agent": nil, "init": nil, "recover": nil, "status": nil, "owners": nil, "step-down": nil,
		"push": nil, "wait": {"for"}, "forget": nil, "lift": nil, "member": nil, "member add": nil,
		"member remove": nil, "round": nil, "round pause": nil, "round go": nil, "round abort": nil, "round back": nil,
		"round start": {"at-once", "need", "by-zone", "failures", "drain", "id", "wait", "for"},
		"hold":        {"id", "zone", "for", "wait"},
	} {
		t.Run(path, func(t *testing.T) {
			command, ok := paths[path]
			if !ok {
				t.Fatal("the command does not exist")
			}
			for _, flag := range slices.Concat(flags, []string{"config", "json", "who", "reason"}) {
				if command.Flag(flag) == nil {
					t.Errorf("the command has no flag --%s", flag)
				}
			}
		})
	}
}

// TestRootCommand_AliasesReachDocumentedCommands checks that each alias finds the same command as the documented
// name.
func TestRootCommand_AliasesReachDocumentedCommands(t *testing.T) {
	root := rootCommand(TestHooks{})
	for _, test := range []struct{ alias, documented []string }{
		{[]string{"replica"}, []string{"council"}},
		{[]string{"bootstrap"}, []string{"init"}},
		{[]string{"force-new-cluster"}, []string{"recover"}},
		{[]string{"leases"}, []string{"owners"}},
		{[]string{"revoke"}, []string{"push"}},
		{[]string{"disable"}, []string{"hold"}},
		{[]string{"enable"}, []string{"lift"}},
		{[]string{"remove-node"}, []string{"forget"}},
		{[]string{"rolling-update", "start"}, []string{"round", "start"}},
		{[]string{"rolling-update", "resume"}, []string{"round", "go"}},
		{[]string{"rolling-update", "roll-back"}, []string{"round", "back"}},
	} {
		t.Run(test.alias[len(test.alias)-1], func(t *testing.T) {
			got, _, err := root.Find(test.alias)
			if err != nil {
				t.Fatal(err)
			}
			want, _, err := root.Find(test.documented)
			if err != nil {
				t.Fatal(err)
			}
			if got != want || got == root {
				t.Errorf("alias %v finds the command %q, want %q", test.alias, got.CommandPath(), want.CommandPath())
			}
		})
	}
}
