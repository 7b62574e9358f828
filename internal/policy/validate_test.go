package policy_test

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"swiftpitch/internal/policy"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*policy.Settings){
		"no gateways":   func(s *policy.Settings) { s.Gateways = 0 },
		"gateway index": func(s *policy.Settings) { s.GatewayIndex = 3 },
		"no classes":    func(s *policy.Settings) { s.Classes = nil },
		"no plans":      func(s *policy.Settings) { s.Plans = nil },
		"negative rate": func(s *policy.Settings) { s.Plans[0].Rate = -1 },
		"no attempts":   func(s *policy.Settings) { s.MaxAttempts = 0 },
	} {
		settings := testSettings()
		invalidate(&settings)
		if _, err := policy.New(0, settings); err == nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
}

func TestSettingsErrorNamesInvalidField(t *testing.T) {
	for _, test := range []struct {
		invalidate func(*policy.Settings)
		want       policy.SettingsError // its Reason is not compared
		text       string               // must be part of the message
	}{
		{func(s *policy.Settings) { s.Gateways = 0 }, policy.SettingsError{Field: "Gateways"}, "0 gateways, 5 attempts"},
		{func(s *policy.Settings) { s.MaxAttempts = 0 }, policy.SettingsError{Field: "MaxAttempts"}, "3 gateways, 0 attempts"},
		{func(s *policy.Settings) { s.GatewayIndex = -1 }, policy.SettingsError{Field: "GatewayIndex"}, "gateway index -1"},
		{func(s *policy.Settings) { s.Classes = nil }, policy.SettingsError{Field: "Classes"}, "no classes"},
		{func(s *policy.Settings) { s.Plans = nil }, policy.SettingsError{Field: "Plans"}, "no plans"},
		{func(s *policy.Settings) { s.SlowStartCapacity = 1.5 }, policy.SettingsError{Field: "SlowStartCapacity"}, "1.5"},
		{func(s *policy.Settings) { s.SlowStartCapacity = math.NaN() }, policy.SettingsError{Field: "SlowStartCapacity"}, "NaN"},
		{func(s *policy.Settings) { s.SlowStartDuration = -1 }, policy.SettingsError{Field: "SlowStartDuration"}, "-1ns"},
		{func(s *policy.Settings) { s.CounterTimeout = -time.Second }, policy.SettingsError{Field: "CounterTimeout"}, "-1s"},
		{func(s *policy.Settings) { s.Classes[2].Deadline = -time.Second },
			policy.SettingsError{Section: "class", Index: 2, Field: "Deadline"}, "class 2: Deadline: -1s"},
		{func(s *policy.Settings) { s.Classes[1].Deadline = -1 },
			policy.SettingsError{Section: "class", Index: 1, Field: "Deadline"}, "class 1: Deadline: -1ns"},
		{func(s *policy.Settings) { s.Classes[0].DedupWindow = -1 },
			policy.SettingsError{Section: "class", Index: 0, Field: "DedupWindow"}, "class 0: DedupWindow: -1ns"},
		{func(s *policy.Settings) { s.Plans[1].Burst = math.NaN() },
			policy.SettingsError{Section: "plan", Index: 1, Field: "Burst"}, "plan 1: Burst: NaN"},
		{func(s *policy.Settings) { s.Plans[2].HardLimitTolerance = -3 },
			policy.SettingsError{Section: "plan", Index: 2, Field: "HardLimitTolerance"}, "plan 2: HardLimitTolerance: -3"},
		{func(s *policy.Settings) { s.Plans[3].MaxConcurrent = -1 },
			policy.SettingsError{Section: "plan", Index: 3, Field: "MaxConcurrent"}, "plan 3: MaxConcurrent: -1"},
	} {
		settings := testSettings()
		test.invalidate(&settings)
		_, err := policy.New(0, settings)
		var got *policy.SettingsError
		if !errors.As(err, &got) {
			t.Errorf("got error %v, want a SettingsError for %+v", err, test.want)
			continue
		}
		if got.Section != test.want.Section || got.Index != test.want.Index || got.Field != test.want.Field {
			t.Errorf("got a SettingsError for section %q, index %d, field %s; want %+v", got.Section, got.Index, got.Field, test.want)
		}
		if !strings.Contains(err.Error(), test.text) {
			t.Errorf("message %q does not contain %q", err, test.text)
		}
	}
}
