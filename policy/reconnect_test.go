package policy

import (
	"fmt"
	"testing"
	"time"
)

// reconnectSettings returns testSettings with deadlines of 8 s and at most 4 attempts.
func reconnectSettings() Settings {
	settings := testSettings(1)
	for i := range settings.Classes {
		settings.Classes[i].LatencyObjective, settings.Classes[i].Deadline = 4*time.Second, 8*time.Second
	}
	settings.Capabilities.MaxAttempts = 4
	return settings
}

// runRequest passes a request to b and makes its attempts until the final action. Each attempt ends after a
// millisecond with the next code, and with OK after the last code. runRequest returns the times of the sends, and the
// time and kind of the final action. The kind is Send after OK.
func runRequest(b *Balancer, class string, codes ...Code) (sends []Time, endedAt Time, end ActionKind) {
	r := testRequest("x", class)
	r.ExpiresIn = 8 * time.Second
	pending := b.Handle(ms, r)
	for now := ms; now < 8*time.Second; now += ms {
		var next []Action
		for _, act := range append([]Action(nil), pending...) {
			switch act.Kind {
			case Send:
				code := OK
				if len(sends) < len(codes) {
					code = codes[len(sends)]
				}
				outcome := testOutcome("x", len(sends), act.Server, code, ms)
				sends = append(sends, now)
				if code == OK {
					return sends, now, Send
				}
				next = append(next, b.Handle(now+ms, outcome)...)
			case Reject, Fail:
				return sends, now, act.Kind
			}
		}
		pending = append(next, b.Handle(now+ms, Timer{Token: queueTimerToken})...)
	}
	return sends, 8 * time.Second, Fail
}

// TestRetry_ReconnectsWhereNoServerIsLeft checks that a request without an untried server is sent again to a server
// that failed to connect, but not to a server that rejected it.
func TestRetry_ReconnectsWhereNoServerIsLeft(t *testing.T) {
	const reconnectTime = 150 * ms
	failures := []Code{ConnectFailed, ConnectFailed, ConnectFailed, ConnectFailed}
	for _, test := range []struct {
		name    string
		servers int
		codes   []Code
		sends   int
		end     ActionKind
		latest  Time
	}{
		{"one server", 1, []Code{ConnectFailed}, 2, Send, reconnectTime},
		{"both fail to connect", 2, []Code{ConnectFailed, ConnectFailed}, 3, Send, 2 * reconnectTime},
		{"one rejects", 2, []Code{Overloaded, ConnectFailed}, 3, Send, reconnectTime},
		{"the other rejects", 2, []Code{ConnectFailed, Overloaded}, 3, Send, reconnectTime},
		{"both reject", 2, []Code{Overloaded, Overloaded}, 2, Reject, 2 * time.Second}, // queued, because a server may join
		{"an untried server comes first", 3, []Code{ConnectFailed, ConnectFailed}, 3, Send, 10 * ms},
		{"attempts are bounded", 1, failures, 4, Reject, time.Second},
	} {
		for _, class := range []string{"idempotent", "single", "dedup-cell"} {
			t.Run(test.name+"/"+class, func(t *testing.T) {
				b := startBalancer(t, reconnectSettings(), testEndpoints(test.servers))
				sends, endedAt, end := runRequest(b, class, test.codes...)
				if len(sends) != test.sends || end != test.end || endedAt > test.latest {
					t.Errorf("sends at %v, ended by action kind %d at %v; want %d sends, action kind %d by %v",
						sends, end, endedAt, test.sends, test.end, test.latest)
				}
			})
		}
	}
}

// TestRetry_ReconnectBacksOff checks that the backoff before another attempt at a server doubles. The attempts then
// outlast a restart of a few hundred milliseconds.
func TestRetry_ReconnectBacksOff(t *testing.T) {
	b := startBalancer(t, reconnectSettings(), testEndpoints(1))
	sends, _, _ := runRequest(b, "single", ConnectFailed, ConnectFailed, ConnectFailed, ConnectFailed)
	for i := 1; i < len(sends); i++ {
		wait, want := sends[i]-sends[i-1], reconnectBackoff<<(i-1)
		if wait < want || wait > want+2*queuePollInterval {
			t.Errorf("retry %d after %v, want after %v", i, wait, want)
		}
	}
}

// TestRetry_ReconnectKeepsBounds checks that reconnecting neither repeats a request that may have been executed, nor
// exceeds the retry budget.
func TestRetry_ReconnectKeepsBounds(t *testing.T) {
	for _, code := range []Code{Reset, TimedOut, ServerError} {
		t.Run(fmt.Sprint("code ", code), func(t *testing.T) {
			b := startBalancer(t, reconnectSettings(), testEndpoints(1))
			if sends, _, end := runRequest(b, "single", code); len(sends) != 1 || end != Fail {
				t.Errorf("sends at %v, ended by action kind %d, want one send and Fail", sends, end)
			}
		})
	}
	t.Run("retry budget", func(t *testing.T) {
		settings := reconnectSettings()
		settings.Rules.RetryBudget = &RetryBudget{Window: 10 * time.Second}
		b := startBalancer(t, settings, testEndpoints(1))
		if sends, _, end := runRequest(b, "single", ConnectFailed); len(sends) != 1 || end != Reject {
			t.Errorf("sends at %v, ended by action kind %d, want one send and Reject", sends, end)
		}
	})
}

// TestRetry_ReconnectsBesideEjectedServer checks that an untried but ejected server does not prevent another attempt
// at the server that failed to connect.
func TestRetry_ReconnectsBesideEjectedServer(t *testing.T) {
	b := startBalancer(t, reconnectSettings(), testEndpoints(2))
	b.eject(b.servers["s01"])
	sends, endedAt, end := runRequest(b, "single", ConnectFailed)
	if len(sends) != 2 || end != Send || endedAt > 150*ms {
		t.Errorf("sends at %v, ended by action kind %d at %v; want two sends, the second answered by 150 ms",
			sends, end, endedAt)
	}
}
