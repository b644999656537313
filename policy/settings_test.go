package policy

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestNew_RejectsInvalidSettings(t *testing.T) {
	nan := math.NaN()
	for _, test := range []struct {
		name       string
		want       string // text that the error must contain
		invalidate func(*Settings)
	}{
		{"no classes", "classes", func(s *Settings) { s.Classes = nil }},
		{"negative deadline", "deadline", func(s *Settings) { s.Classes[0].Deadline = -1 }},
		{"no deadline", "deadline", func(s *Settings) { s.Classes[0].Deadline = 0 }},
		{"negative objective", `class "single": aim`, func(s *Settings) { s.Classes[1].LatencyObjective = -1 }},
		{"work factor is not a number", "aim stretch", func(s *Settings) { s.Classes[0].ObjectiveWorkFactor = nan }},
		{"negative dedup window", "window", func(s *Settings) { s.Classes[2].DedupWindow = -1 }},
		{"negative late weight", "late worth", func(s *Settings) { s.Classes[0].LateWeightFraction = -0.1 }},
		{"infinite priority weight", "worth", func(s *Settings) { s.Classes[0].PriorityWeight = math.Inf(1) }},
		{"duplicate class", "twice", func(s *Settings) { s.Classes[1].Name = "idempotent" }},
		{"node out of range", "node 2", func(s *Settings) { s.Node = 2 }},
		{"no nodes", "range for 0 nodes", func(s *Settings) { s.Nodes = 0 }},
		{"negative quota", `tenant "t": quota`, func(s *Settings) { s.Tenants[0].Quota = -1 }},
		{"quota is not a number", `tenant "t": quota`, func(s *Settings) { s.Tenants[0].Quota = nan }},
		{"negative share", "share", func(s *Settings) { s.Tenants[0].Share = -1 }},
		{"negative answer grace", "answer grace", func(s *Settings) { s.Rules.AnswerGrace = -1 }},
		{"negative drain grace", "drain grace", func(s *Settings) { s.Rules.DrainGrace = -1 }},
		{"slow start share over 1", "cold share", func(s *Settings) { s.Rules.SlowStartShare = 1.1 }},
		{"slow start share is not a number", "cold share", func(s *Settings) { s.Rules.SlowStartShare = nan }},
		{"negative overload factor", "fall multiple", func(s *Settings) { s.Rules.OverloadFactor = -1 }},
		{"retry budget without window", "attempt budget: span", func(s *Settings) {
			s.Rules.RetryBudget = &RetryBudget{RetryRatio: 0.1}
		}},
		{"retry ratio is not a number", "attempt budget: share", func(s *Settings) {
			s.Rules.RetryBudget = &RetryBudget{RetryRatio: nan, Window: 1}
		}},
		{"negative retries", "attempt budget: least", func(s *Settings) {
			s.Rules.RetryBudget = &RetryBudget{MinRetries: -1, Window: 1}
		}},
		{"negative attempts", "max attempts", func(s *Settings) { s.Capabilities.MaxAttempts = -1 }},
		{"negative retry-after", "max retry-after", func(s *Settings) { s.Capabilities.MaxRetryAfter = -1 }},
		{"negative idle timeout", "idle", func(s *Settings) { s.Capabilities.ConnIdleTimeout = -1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := testSettings(2)
			test.invalidate(&settings)
			_, err := New(settings, 0, 1)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one that contains %q", err, test.want)
			}
			if setting := new(SettingError); !errors.Is(err, ErrInvalidSettings) || !errors.As(err, &setting) {
				t.Errorf("error %v is not a SettingError, or does not match ErrInvalidSettings", err)
			}
		})
	}
}
