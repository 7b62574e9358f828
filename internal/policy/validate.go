package policy

import "fmt"

// SettingsError is the error of [New] for settings that no gateway can run with.
// Callers get at it with [errors.As].
type SettingsError struct {
	Section string // "class" or "plan" where an entry of these lists is at fault, else ""
	Index   int    // of that entry, from 0
	Field   string // name of the field of [Settings], [Class] or [Plan]
	Reason  string // what is wrong with it, with the values at fault
}

// Error names the entry at fault and says what is wrong with it.
func (e *SettingsError) Error() string {
	if e.Section == "" {
		return e.Reason
	}
	return fmt.Sprintf("%s %d: %s: %s", e.Section, e.Index, e.Field, e.Reason)
}

// validateSettings returns the first fault of the settings, nil if there is none.
func validateSettings(set *Settings) error {
	if err := validateFleet(set); err != nil {
		return err
	}
	if err := validateTimes(set); err != nil {
		return err
	}
	for i := range set.Classes {
		if err := validateClass(i, &set.Classes[i]); err != nil {
			return err
		}
	}
	for i := range set.Plans {
		if err := validatePlan(i, &set.Plans[i]); err != nil {
			return err
		}
	}
	return nil
}

// validateFleet checks the counts that every gateway needs.
func validateFleet(set *Settings) error {
	fault := func(field, format string, values ...any) error {
		return &SettingsError{Field: field, Reason: fmt.Sprintf(format, values...)}
	}
	switch {
	case set.Gateways < 1:
		return fault("Gateways", "%d gateways, %d attempts: one is the least", set.Gateways, set.MaxAttempts)
	case set.MaxAttempts < 1:
		return fault("MaxAttempts", "%d gateways, %d attempts: one is the least", set.Gateways, set.MaxAttempts)
	case set.GatewayIndex < 0 || set.GatewayIndex >= set.Gateways:
		return fault("GatewayIndex", "rank %d is not among %d gateways", set.GatewayIndex, set.Gateways)
	case len(set.Classes) == 0:
		return fault("Classes", "no classes")
	case len(set.Plans) == 0:
		return fault("Plans", "no plans")
	}
	return nil
}

// validateTimes checks what is known of slow start and of the counter.
func validateTimes(set *Settings) error {
	fault := func(field string, value any, reason string) error {
		return &SettingsError{Field: field, Reason: fmt.Sprintf("%s %v: %s", field, value, reason)}
	}
	switch {
	case !(set.SlowStartCapacity >= 0 && set.SlowStartCapacity <= 1): // also true of NaN
		return fault("SlowStartCapacity", set.SlowStartCapacity, "outside 0 to 1")
	case set.SlowStartDuration < 0:
		return fault("SlowStartDuration", set.SlowStartDuration, "negative")
	case set.CounterTimeout < 0:
		return fault("CounterTimeout", set.CounterTimeout, "negative")
	}
	return nil
}

func validateClass(index int, class *Class) error {
	fault := func(field string, value any, reason string) error {
		return &SettingsError{Section: "class", Index: index, Field: field, Reason: fmt.Sprintf("%v %s", value, reason)}
	}
	switch {
	case class.LatencyObjective <= 0:
		return fault("LatencyObjective", class.LatencyObjective, "is not above zero")
	case class.Deadline < 0:
		return fault("Deadline", class.Deadline, "is negative")
	case class.DedupWindow < 0:
		return fault("DedupWindow", class.DedupWindow, "is negative")
	}
	return nil
}

func validatePlan(index int, plan *Plan) error {
	fault := func(field string, value any) error {
		return &SettingsError{Section: "plan", Index: index, Field: field, Reason: fmt.Sprintf("%v is negative or no number", value)}
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
			return fault(limit.field, limit.value)
		}
	}
	if plan.MaxConcurrent < 0 {
		return fault("MaxConcurrent", plan.MaxConcurrent)
	}
	return nil
}
