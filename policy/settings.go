package policy

import (
	"errors"
	"fmt"
	"math"
)

// ErrInvalidSettings is matched by every error that New and Reconfigure return.
var ErrInvalidSettings = errors.New("invalid settings")

// SettingError reports an invalid setting. Setting is the name in the settings file, for example "aim" for
// LatencyObjective. Errors that wrap a SettingError name the class, the tenant or the section of the setting.
type SettingError struct {
	Setting string
	Reason  string
}

// Error returns the setting and the reason.
func (e *SettingError) Error() string { return e.Setting + ": " + e.Reason }

// Unwrap makes the error match ErrInvalidSettings.
func (e *SettingError) Unwrap() error { return ErrInvalidSettings }

// validate returns a SettingError, wrapped in its context, for the first invalid setting.
func validate(settings Settings) error {
	if len(settings.Classes) == 0 {
		return &SettingError{"classes", "at least one is required"}
	}
	if settings.Nodes < 1 || settings.Node < 0 || settings.Node >= settings.Nodes {
		reason := fmt.Sprintf("out of range for %d nodes", settings.Nodes)
		return &SettingError{fmt.Sprintf("node %d", settings.Node), reason}
	}
	if err := validateClasses(settings.Classes); err != nil {
		return err
	}
	for _, tenant := range settings.Tenants {
		err := firstError(
			validateNotNegative("quota", tenant.Quota),
			validateNotNegative("share", tenant.Share),
		)
		if err != nil {
			return fmt.Errorf("tenant %q: %w", tenant.Name, err)
		}
	}
	if err := validateRules(settings.Rules); err != nil {
		return fmt.Errorf("rules: %w", err)
	}
	if err := validateCapabilities(settings.Capabilities); err != nil {
		return fmt.Errorf("capabilities: %w", err)
	}
	return nil
}

func validateClasses(classes []Class) error {
	seen := make(map[string]bool)
	for _, class := range classes {
		if err := validateClass(class); err != nil {
			return fmt.Errorf("class %q: %w", class.Name, err)
		}
		if seen[class.Name] {
			return &SettingError{fmt.Sprintf("class %q", class.Name), "used twice"}
		}
		seen[class.Name] = true
	}
	return nil
}

func validateClass(class Class) error {
	if class.Deadline <= 0 {
		return &SettingError{"deadline", "missing or negative"}
	}
	return firstError(
		validateNotNegative("aim", class.LatencyObjective.Seconds()),
		validateNotNegative("aim stretch", class.ObjectiveWorkFactor),
		validateNotNegative("window", class.DedupWindow.Seconds()),
		validateNotNegative("late worth", class.LateWeightFraction),
		validateNotNegative("worth", class.PriorityWeight),
	)
}

func validateCapabilities(capabilities Capabilities) error {
	return firstError(
		validateNotNegative("max attempts", float64(capabilities.MaxAttempts)),
		validateNotNegative("max retry-after", capabilities.MaxRetryAfter.Seconds()),
		validateNotNegative("connection idle time", capabilities.ConnIdleTimeout.Seconds()),
	)
}

func validateRules(rules Rules) error {
	err := firstError(
		validateNotNegative("answer grace", rules.AnswerGrace.Seconds()),
		validateNotNegative("drain grace", rules.DrainGrace.Seconds()),
		validateNotNegative("cold share", rules.SlowStartShare),
		validateNotNegative("cold for", rules.SlowStartWindow.Seconds()),
		validateNotNegative("fall multiple", rules.OverloadFactor),
		validateNotNegative("fall for", rules.OverloadDuration.Seconds()),
		validateNotNegative("ask within", rules.MaxPollInterval.Seconds()),
	)
	if err != nil {
		return err
	}
	if rules.SlowStartShare > 1 {
		return &SettingError{"cold share", fmt.Sprintf("must be at most 1, got %v", rules.SlowStartShare)}
	}
	if rules.RetryBudget == nil {
		return nil
	}
	if rules.RetryBudget.Window <= 0 {
		return &SettingError{"attempt budget: span", "missing or negative"}
	}
	return firstError(
		validateNotNegative("attempt budget: least", rules.RetryBudget.MinRetries),
		validateNotNegative("attempt budget: share", rules.RetryBudget.RetryRatio),
	)
}

// validateNotNegative returns an error for a value that is negative, infinite or NaN.
func validateNotNegative(setting string, value float64) error {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return &SettingError{setting, fmt.Sprintf("must be a finite number of 0 or more, got %v", value)}
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
