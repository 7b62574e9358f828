package policy

import "fmt"

// SettingsError is the error of [New] for settings that no gateway can run with.
// Callers get at it with [errors.As].
type SettingsError struct {
	Section string // "class" or "plan" if an entry of one of these lists is invalid, else ""
	Index   int    // of that entry, from 0
	Field   string // name of the invalid field of [Settings], [Class] or [Plan]
	Reason  string // why it is invalid, with the invalid values
}

// Error names the invalid entry and says what is wrong with it.
func (e *SettingsError) Error() string {
	if e.Section == "" {
		return e.Reason
	}
	return fmt.Sprintf("%s %d: %s: %s", e.Section, e.Index, e.Field, e.Reason)
}

// validateSettings returns an error for the first invalid field of the settings.
func validateSettings(settings *Settings) error {
	if err := validateFleet(settings); err != nil {
		return err
	}
	if err := validateTimes(settings); err != nil {
		return err
	}
	for i := range settings.Classes {
		if err := validateClass(i, &settings.Classes[i]); err != nil {
			return err
		}
	}
	for i := range settings.Plans {
		if err := validatePlan(i, &settings.Plans[i]); err != nil {
			return err
		}
	}
	return nil
}

// validateFleet checks the size of the fleet, the gateway's index and the number of attempts,
// and that there are classes and plans.
func validateFleet(settings *Settings) error {
	invalid := func(field, format string, values ...any) error {
		return &SettingsError{Field: field, Reason: fmt.Sprintf(format, values...)}
	}
	switch {
	case settings.Gateways < 1:
		return invalid("Gateways", "%d gateways, %d attempts: both must be at least 1", settings.Gateways, settings.MaxAttempts)
	case settings.MaxAttempts < 1:
		return invalid("MaxAttempts", "%d gateways, %d attempts: both must be at least 1", settings.Gateways, settings.MaxAttempts)
	case settings.GatewayIndex < 0 || settings.GatewayIndex >= settings.Gateways:
		return invalid("GatewayIndex", "gateway index %d is out of range for %d gateways", settings.GatewayIndex, settings.Gateways)
	case len(settings.Classes) == 0:
		return invalid("Classes", "no classes")
	case len(settings.Plans) == 0:
		return invalid("Plans", "no plans")
	}
	return nil
}

// validateTimes checks the settings of slow start and the counter timeout.
func validateTimes(settings *Settings) error {
	invalid := func(field string, value any, reason string) error {
		return &SettingsError{Field: field, Reason: fmt.Sprintf("%s %v: %s", field, value, reason)}
	}
	switch {
	case !(settings.SlowStartCapacity >= 0 && settings.SlowStartCapacity <= 1): // also true of NaN
		return invalid("SlowStartCapacity", settings.SlowStartCapacity, "must be between 0 and 1")
	case settings.SlowStartDuration < 0:
		return invalid("SlowStartDuration", settings.SlowStartDuration, "must not be negative")
	case settings.CounterTimeout < 0:
		return invalid("CounterTimeout", settings.CounterTimeout, "must not be negative")
	}
	return nil
}

func validateClass(index int, class *Class) error {
	invalid := func(field string, value any, reason string) error {
		return &SettingsError{Section: "class", Index: index, Field: field, Reason: fmt.Sprintf("%v %s", value, reason)}
	}
	switch {
	case class.Deadline < 0:
		return invalid("Deadline", class.Deadline, "is negative")
	case class.DedupWindow < 0:
		return invalid("DedupWindow", class.DedupWindow, "is negative")
	}
	return nil
}

func validatePlan(index int, plan *Plan) error {
	invalid := func(field string, value any) error {
		return &SettingsError{Section: "plan", Index: index, Field: field, Reason: fmt.Sprintf("%v is negative or not a number", value)}
	}
	limits := []struct {
		field string
		value float64
	}{
		{"Rate", plan.Rate},
		{"Burst", plan.Burst},
		{"HardLimitRate", plan.HardLimitRate},
		{"HardLimitBurst", plan.HardLimitBurst},
		{"HardLimitTolerance", plan.HardLimitTolerance},
	}
	for _, limit := range limits {
		if !(limit.value >= 0) { // also true of NaN
			return invalid(limit.field, limit.value)
		}
	}
	if plan.MaxConcurrent < 0 {
		return invalid("MaxConcurrent", plan.MaxConcurrent)
	}
	return nil
}
