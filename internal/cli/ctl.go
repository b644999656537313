package cli

import (
	"bufio"
	"bytes"
	"cmp"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"cobaltward/certificates"
	"cobaltward/drain"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/demo"
	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
	"cobaltward/router"

	"github.com/spf13/cobra"
)

// The statuses of ctl that scripts go by, beside 0 and 1.
const (
	exitUnreachable    exitStatusError = 4 // no node answers at the door
	exitDeadlinePassed exitStatusError = 5 // the deadline has passed, and requests were answered for want of time
	exitDrainCancelled exitStatusError = 6 // the drain was cancelled
	exitConflict       exitStatusError = 7 // the node says no, as things stand
)

const ctlTimeout = 10 * time.Second // for an answer; watching has no end

// statusError is an error with a status.
type statusError struct {
	error
	status exitStatusError
}

func (e statusError) As(to any) bool {
	if s, ok := to.(*exitStatusError); ok {
		*s = e.status
		return true
	}
	return false
}

// adminClient is what all of its commands share.
type adminClient struct {
	configPath         *string // the operator's own file
	address, tokenFile string
	caFile, serverName string // for a door by TLS
}

// addFlags are those by which the door is found.
func (t *adminClient) addFlags(c *cobra.Command) {
	f := c.PersistentFlags()
	f.StringVar(&t.address, "door", os.Getenv("WAYHOLD_DOOR"), "the node's socket, or IP:port; else as --config says; WAYHOLD_DOOR names it too")
	f.StringVar(&t.tokenFile, "token-file", "", "the token for IP:port; else as --config says")
	f.StringVar(&t.caFile, "ca", "", "authorities of a door that takes TLS, as PEM")
	f.StringVar(&t.serverName, "name", "", "that its certificate is for; else its address")
}

func ctlCommand(own *string) *cobra.Command {
	t := adminClient{configPath: own}
	c := &cobra.Command{
		Use:   "ctl",
		Short: "See to a running node by its door: status, drain, undrain, watch, server",
		Long: `See to a running node by the door that the table [door] of its own file opens. The exit status is 0 if all is
well (drain --wait: drained), 4 if no node answers, 5 if the deadline passed with requests open, 6 if the drain was
taken back, 7 if the node says no as things stand, and 1 otherwise.`,
	}
	t.addFlags(c)
	var asJSON bool
	status := &cobra.Command{Use: "status", Short: "Print how the node stands", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		var s node.Status
		raw, err := t.call(http.MethodGet, "/status", nil, &s)
		if err != nil {
			return err
		}
		if asJSON {
			_, err := c.OutOrStdout().Write(raw)
			return err
		}
		return printStatus(c.OutOrStdout(), s)
	}}
	status.Flags().BoolVar(&asJSON, "json", false, "as the door tells it")
	order := node.DrainRequest{RequestedBy: os.Getenv("USER")}
	var deadline time.Duration
	var wait bool
	start := &cobra.Command{Use: "drain", Short: "Take the node out in order", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		order.Timeout = deadline.String()
		var s node.Status
		if _, err := t.call(http.MethodPost, "/drain", order, &s); err != nil {
			return err
		}
		if wait {
			return t.watch(c.OutOrStdout(), true)
		}
		return printStatus(c.OutOrStdout(), s)
	}}
	start.Flags().DurationVar(&deadline, "deadline", 30*time.Second, "after which what is open is answered, and nothing is taken")
	start.Flags().StringVar(&order.Reason, "reason", "", "for those who find the node drained")
	start.Flags().StringVar(&order.RequestedBy, "who", order.RequestedBy, "who asks")
	start.Flags().BoolVar(&order.Force, "force", false, "shorten the deadline of a drain that goes on")
	start.Flags().BoolVar(&wait, "wait", false, "show progress until the drain is over, or taken back")
	undo := &cobra.Command{Use: "undrain", Short: "Take a drain back: the node serves again at once", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		var s node.Status
		if _, err := t.call(http.MethodDelete, "/drain", node.DrainRequest{RequestedBy: order.RequestedBy}, &s); err != nil {
			return err
		}
		return printStatus(c.OutOrStdout(), s)
	}}
	watch := &cobra.Command{
		Use: "watch", Short: "Show what the node does, until interrupted", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return t.watch(c.OutOrStdout(), false) },
	}
	server := &cobra.Command{Use: "server", Short: "Take a server out for this node alone"}
	for use, s := range map[string]struct{ method, short string }{
		"drain":   {http.MethodPost, "Send a server nothing new, whatever the list says, until undrain"},
		"undrain": {http.MethodDelete, "Go by the list again"},
	} {
		server.AddCommand(&cobra.Command{Use: use + " ID", Short: s.short, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			raw, err := t.call(s.method, "/servers/"+url.PathEscape(args[0])+"/drain", nil, nil)
			if err == nil {
				_, err = c.OutOrStdout().Write(raw)
			}
			return err
		}})
	}
	c.AddCommand(status, start, undo, watch, server, t.levelCommand(&order.RequestedBy))
	return c
}

// levelCommand shows the level of service, and sets it by hand.
func (t *adminClient) levelCommand(who *string) *cobra.Command {
	showAt := func(c *cobra.Command, method, path string, body any) error {
		var st router.LevelStatus
		if _, err := t.call(method, path, body, &st); err != nil {
			return err
		}
		out := c.OutOrStdout()
		fmt.Fprintf(out, "level %d, %s: %s\ndemand %.2f, slow %.3f, held %.3f\n", st.Level, st.Name, st.Reason, st.Demand, st.Slow, st.Queued)
		if st.DryRun {
			fmt.Fprintln(out, "a dry run: nothing is shed; what is counted would be")
		}
		if st.MaxLevel >= 0 {
			fmt.Fprintf(out, "levels beyond %d are forbidden\n", st.MaxLevel)
		}
		if st.ExitProbing {
			fmt.Fprintln(out, "its end is being tried: half of what it sheds is let in")
		}
		for _, l := range st.ExitConditions {
			fmt.Fprintf(out, "ends with %s\n", l)
		}
		for _, cost := range []struct {
			of string
			by map[string]uint64
		}{{"class", st.ShedByClass}, {"tenant", st.ShedByTenant}} {
			for _, name := range slices.Sorted(maps.Keys(cost.by)) {
				fmt.Fprintf(out, "shed of %s %s: %d\n", cost.of, cmp.Or(name, "(others)"), cost.by[name])
			}
		}
		if st.ShedWeight > 0 {
			fmt.Fprintf(out, "worth shed: %.1f\n", st.ShedWeight)
		}
		for _, e := range st.Events {
			fmt.Fprintf(out, "  from %d to %d, %s: %s\n", e.From, e.To, e.Name, e.Reason)
		}
		return nil
	}
	show := func(c *cobra.Command, method string, body any) error { return showAt(c, method, "/level", body) }
	c := &cobra.Command{
		Use: "level", Short: "Print the level of service, and why it is in force", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return show(c, http.MethodGet, nil) },
	}
	var o node.LevelRequest
	var d time.Duration
	set := &cobra.Command{Use: "set N", Short: "Put a level in force by hand: 0 is full service", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		n, err := strconv.Atoi(args[0])
		if err != nil {
			return fmt.Errorf("ctl: want the number of a level, got %q", args[0])
		}
		if o.Level, o.RequestedBy = n, *who; d > 0 {
			o.Duration = d.String()
		}
		return show(c, http.MethodPost, o)
	}}
	set.Flags().DurationVar(&d, "for", 0, "for how long; else until release")
	set.Flags().StringVar(&o.Reason, "reason", "", "for those who find it")
	forbid := &cobra.Command{Use: "forbid N|none", Short: "Enter no level beyond N; none allows all again", Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		n, err := strconv.Atoi(args[0])
		if args[0] == "none" {
			n, err = -1, nil
		}
		if err != nil {
			return fmt.Errorf("ctl: want the number of a level or none, got %q", args[0])
		}
		o.Level, o.RequestedBy = n, *who
		return showAt(c, http.MethodPost, "/level/most", o)
	}}
	forbid.Flags().StringVar(&o.Reason, "reason", "", "for those who find it")
	c.AddCommand(set, forbid, &cobra.Command{
		Use: "release", Short: "Give the level back to its conditions", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return show(c, http.MethodDelete, nil) },
	})
	return c
}

// connect finds the door.
func (t *adminClient) connect() (*http.Client, string, error) {
	at, file := t.address, t.tokenFile
	if at == "" && *t.configPath != "" {
		o, err := nodeconfig.Load(*t.configPath)
		if err != nil {
			return nil, "", err
		}
		if at, file = o.AdminAPI.Socket, ""; at == "" {
			at, file = o.AdminAPI.Listen, o.AdminAPI.TokenFile
		}
	}
	if at == "" {
		return nil, "", errors.New("ctl: which node? Name its door by --door or WAYHOLD_DOOR, or its own file by --config")
	}
	secret := ""
	if file != "" {
		var err error
		if secret, err = nodeconfig.ReadToken(file); err != nil {
			return nil, "", err
		}
	}
	conf, err := t.tlsConfig()
	if err != nil {
		return nil, "", err
	}
	c, base := adminapi.NewClient(at, secret, conf)
	return c, base, nil
}

// tlsConfig is how a door by TLS is spoken to; nil: without.
func (t *adminClient) tlsConfig() (*tls.Config, error) {
	if t.caFile == "" {
		return nil, nil
	}
	set, err := certificates.Load(certificates.Sources{Trust: t.caFile}, time.Now())
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: set.Pool, ServerName: t.serverName, MinVersion: tls.VersionTLS13}, nil
}

// call asks the door, and reads its answer.
func (t *adminClient) call(method, path string, body, to any) ([]byte, error) {
	c, base, err := t.connect()
	if err != nil {
		return nil, err
	}
	defer c.CloseIdleConnections()
	c.Timeout = ctlTimeout
	raw := []byte(nil)
	if body != nil {
		if raw, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequest(method, base+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, statusError{fmt.Errorf("ctl: no node answers: %w", errors.Unwrap(err)), exitUnreachable}
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(resp.Body)
	if err != nil {
		return nil, statusError{fmt.Errorf("ctl: the answer broke off: %w", err), exitUnreachable}
	}
	if resp.StatusCode >= 300 {
		var e adminapi.ErrorBody
		if json.Unmarshal(raw, &e) != nil || e.Message == "" {
			e.Message = resp.Status
		}
		err := fmt.Errorf("ctl: %s", e.Message)
		if resp.StatusCode == http.StatusConflict {
			return nil, statusError{err, exitConflict}
		}
		return nil, err
	}
	if to != nil {
		if err := json.Unmarshal(raw, to); err != nil {
			return nil, fmt.Errorf("ctl: the answer is not this version's: %w", err)
		}
	}
	return raw, nil
}

// watch shows events: a line that changes on a terminal, else a line of JSON each. With until it returns when
// the drain is over.
func (t *adminClient) watch(out io.Writer, until bool) error {
	c, base, err := t.connect()
	if err != nil {
		return err
	}
	defer c.CloseIdleConnections()
	ctx, stop := signalContext()
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/events", nil)
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return statusError{fmt.Errorf("ctl: no node answers: %w", errors.Unwrap(err)), exitUnreachable}
	}
	defer resp.Body.Close()
	terminal := demo.Terminal(os.Stdout)
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	event := ""
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if !terminal {
			fmt.Fprintf(out, "{\"event\":%q,\"data\":%s}\n", event, data)
		}
		switch event {
		case "drain":
			var e drain.Event
			if err := json.Unmarshal([]byte(data), &e); err != nil {
				return err
			}
			if terminal {
				fmt.Fprintf(out, "\r\x1b[K%s  %s: %s to %s, %d open %s\n", e.At.Local().Format(time.TimeOnly), e.Change, e.From, e.To, e.OpenRequests, e.Reason)
			}
		case "status":
			var s node.Status
			if err := json.Unmarshal([]byte(data), &s); err != nil {
				return err
			}
			if terminal {
				fmt.Fprintf(out, "\r\x1b[K%s", progressLine(s))
			}
			if until {
				if over, err := outcome(s); over {
					if terminal {
						fmt.Fprintln(out)
					}
					return err
				}
			}
		}
	}
	if ctx.Err() != nil && !until {
		return nil
	}
	return statusError{errors.New("ctl: the node went away"), exitUnreachable}
}

// outcome is what a drain has come to, once it is over.
func outcome(s node.Status) (over bool, err error) {
	switch s.Drain.State {
	case drain.Drained:
		return true, nil
	case drain.Forced:
		return true, statusError{fmt.Errorf("ctl: the deadline passed with %d requests open; they were answered", s.Drain.OpenAtDeadline), exitDeadlinePassed}
	case drain.Serving:
		return true, statusError{errors.New("ctl: the drain was taken back"), exitDrainCancelled}
	}
	return false, nil
}

func progressLine(s node.Status) string {
	var classes []string
	for name, n := range s.Requests.ByClass {
		classes = append(classes, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(classes)
	line := fmt.Sprintf("%s  %d in flight", s.Drain.State, s.Requests.Open)
	if len(classes) > 0 {
		line += " (" + strings.Join(classes, ", ") + ")"
	}
	if s.Requests.Open > 0 {
		line += fmt.Sprintf(", oldest %.1f s with %.1f s left, %d held, %d retrying", float64(s.Requests.OldestMs)/1e3,
			float64(s.Requests.OldestRemainingMs)/1e3, s.Requests.Queued, s.Requests.Retrying)
	}
	line += fmt.Sprintf("; connections: %d of clients, %d to servers", s.Connections.Clients, s.Connections.Servers)
	if !s.Drain.Deadline.IsZero() && !s.Drain.State.Done() {
		line += fmt.Sprintf("; %.0f s until the deadline", max(0, s.Drain.Deadline.Sub(s.At).Seconds()))
	}
	return line
}

func printStatus(out io.Writer, s node.Status) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "node\t%s\n", s.Name)
	fmt.Fprintf(t, "state\t%s\n", s.Drain.State)
	if s.Drain.State != drain.Serving {
		fmt.Fprintf(t, "drain\tordered at %s by %q, until %s: %s\n", s.Drain.StartedAt.Local().Format(time.TimeOnly), s.Drain.RequestedBy, s.Drain.Deadline.Local().Format(time.TimeOnly), s.Drain.Reason)
	}
	fmt.Fprintf(t, "now\t%s\n", progressLine(s))
	fmt.Fprintf(t, "servers\t%d running, %d draining; list changed %d times, failed %d times\n", s.Servers["running"], s.Servers["draining"], s.EndpointList.Updates, s.EndpointList.Failures)
	if len(s.DisabledServers) > 0 {
		fmt.Fprintf(t, "drained by hand\t%s\n", strings.Join(s.DisabledServers, " "))
	}
	if len(s.UntrustedServers) > 0 {
		fmt.Fprintf(t, "can't prove who they are\t%s (wayhold certs show)\n", strings.Join(s.UntrustedServers, " "))
	}
	var answers []string
	for name, n := range s.Answers {
		if n > 0 {
			answers = append(answers, fmt.Sprintf("%d %s", n, name))
		}
	}
	slices.Sort(answers)
	fmt.Fprintf(t, "answers\t%s\n", strings.Join(answers, ", "))
	fmt.Fprintf(t, "closed for drains\t%d connections, crossed by %d requests\n", s.Connections.ClosedForDrain, s.Connections.RetriedByClients)
	return t.Flush()
}
