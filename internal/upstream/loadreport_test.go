package upstream

import (
	"testing"

	"swiftpitch/internal/policy"
)

// TestParseLoadReport checks that known fields are read, and only plain figures in the
// known format.
func TestParseLoadReport(t *testing.T) {
	report := ParseLoadReport("TEXT inflight=7, queue=2, util=0.61, other=x")
	if report.InFlight == nil || *report.InFlight != 7 || report.QueueLength == nil || *report.QueueLength != 2 ||
		report.Utilization == nil || *report.Utilization != 0.61 {
		t.Errorf("%+v", report)
	}
	if report := ParseLoadReport("TEXT inflight=NaN, queue=-2, util=0x1p3, latency_ms=1e3"); report != (policy.LoadReport{}) {
		t.Errorf("read what are no figures: %+v", report)
	}
	if report := ParseLoadReport("inflight=7"); report.InFlight != nil {
		t.Error("read a report of another format")
	}
}

// TestLoadReportShortAndLongFieldNames checks that the names of the settings are read beside the others.
func TestLoadReportShortAndLongFieldNames(t *testing.T) {
	for _, text := range []string{
		"TEXT busy=0.61, lat_ms=14.5, rif=7, q=2",
		"TEXT util=0.61, latency_ms=14.5, inflight=7, queue=2",
	} {
		report := ParseLoadReport(text)
		if report.Utilization == nil || report.LatencyMS == nil || report.InFlight == nil || report.QueueLength == nil {
			t.Errorf("%s: not all read", text)
			continue
		}
		if *report.Utilization != 0.61 || *report.LatencyMS != 14.5 || *report.InFlight != 7 || *report.QueueLength != 2 {
			t.Errorf("%s: read as %v, %v, %v, %v", text, *report.Utilization, *report.LatencyMS, *report.InFlight, *report.QueueLength)
		}
	}
}
