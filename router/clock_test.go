package router

import (
	"testing"
	"time"

	"cobaltward/policy"
)

func TestClock_ServerStart(t *testing.T) {
	const start = 1_700_000_000_000 // Unix time in milliseconds
	clk := clock{start: time.UnixMilli(start)}
	tests := map[string]struct {
		started time.Time
		want    policy.Time
	}{
		"with the router":                  {time.UnixMilli(start), timeOrigin},
		"before the router, in slow start": {time.UnixMilli(start - 2000), timeOrigin - 2*time.Second},
		"after the router":                 {time.UnixMilli(start + 500), timeOrigin + 500*time.Millisecond},
		"years ago":                        {time.UnixMilli(1_600_000_000_000), 0},
		"at the epoch":                     {time.UnixMilli(1), 0},
		"far ahead":                        {time.UnixMilli(1<<53 - 1), 2 * timeOrigin},
		"unknown":                          {time.Time{}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := clk.serverStart(test.started); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
