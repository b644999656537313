package policy

import (
	"errors"
	"fmt"
	"math"
)

// validate says which of the settings makes no sense, if one does.
func validate(set Settings) error {
	if len(set.Classes) == 0 {
		return errors.New("classes: there are none")
	}
	if set.Nodes < 1 || set.Node < 0 || set.Node >= set.Nodes {
		return fmt.Errorf("node %d: outside the group of %d", set.Node, set.Nodes)
	}
	seen := make(map[string]bool)
	for _, c := range set.Classes {
		if err := validateClass(c); err != nil {
			return fmt.Errorf("class %q: %w", c.Name, err)
		}
		if seen[c.Name] {
			return fmt.Errorf("class %q: named twice", c.Name)
		}
		seen[c.Name] = true
	}
	for _, t := range set.Tenants {
		if err := firstError(notBelowZero("quota", t.Quota), notBelowZero("share", t.Share)); err != nil {
			return fmt.Errorf("tenant %q: %w", t.Name, err)
		}
	}
	if err := validateRules(set.Rules); err != nil {
		return fmt.Errorf("rules: %w", err)
	}
	a := set.Capabilities
	err := firstError(notBelowZero("max attempts", float64(a.MaxAttempts)),
		notBelowZero("max retry-after", a.MaxRetryAfter.Seconds()),
		notBelowZero("connection idle time", a.ConnIdleTimeout.Seconds()))
	if err != nil {
		return fmt.Errorf("allowed: %w", err)
	}
	return nil
}

func validateClass(c Class) error {
	if c.Deadline <= 0 {
		return errors.New("deadline: missing or negative")
	}
	return firstError(notBelowZero("aim", c.LatencyObjective.Seconds()), notBelowZero("aim stretch", c.ObjectiveWorkFactor),
		notBelowZero("window", c.DedupWindow.Seconds()), notBelowZero("late worth", c.LateWeightFraction),
		notBelowZero("worth", c.PriorityWeight))
}

func validateRules(r Rules) error {
	err := firstError(notBelowZero("answer grace", r.AnswerGrace.Seconds()),
		notBelowZero("drain grace", r.DrainGrace.Seconds()), notBelowZero("cold share", r.SlowStartShare),
		notBelowZero("cold for", r.SlowStartWindow.Seconds()), notBelowZero("fall multiple", r.OverloadFactor),
		notBelowZero("fall for", r.OverloadDuration.Seconds()), notBelowZero("ask within", r.MaxPollInterval.Seconds()))
	if err != nil {
		return err
	}
	if r.SlowStartShare > 1 {
		return fmt.Errorf("cold share: want at most 1, got %v", r.SlowStartShare)
	}
	if r.RetryBudget == nil {
		return nil
	}
	if r.RetryBudget.Window <= 0 {
		return errors.New("attempt budget: span: missing or negative")
	}
	return firstError(notBelowZero("attempt budget: least", r.RetryBudget.MinRetries),
		notBelowZero("attempt budget: share", r.RetryBudget.RetryRatio))
}

// notBelowZero names a field whose figure is negative, infinite or no number.
func notBelowZero(field string, v float64) error {
	if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return fmt.Errorf("%s: want a figure of 0 or more, got %v", field, v)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
