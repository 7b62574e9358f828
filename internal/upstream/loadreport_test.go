package upstream

import (
	"testing"

	"swiftpitch/internal/policy"
)

// TestParseLoadReport checks that known fields are parsed, and that malformed numbers and
// reports in another format are ignored.
func TestParseLoadReport(t *testing.T) {
	report := ParseLoadReport("TEXT inflight=7, queue=2, util=0.61, other=x")
	if report.InFlight == nil || *report.InFlight != 7 || report.QueueLength == nil || *report.QueueLength != 2 ||
		report.Utilization == nil || *report.Utilization != 0.61 {
		t.Errorf("parsed as %+v, want 7 requests in flight, queue length 2, utilization 0.61", report)
	}
	if report := ParseLoadReport("TEXT inflight=NaN, queue=-2, util=0x1p3, latency_ms=1e3"); report != (policy.LoadReport{}) {
		t.Errorf("malformed numbers are parsed as %+v, want no fields", report)
	}
	if report := ParseLoadReport("inflight=7"); report.InFlight != nil {
		t.Errorf("a report without the prefix %q is parsed", loadReportPrefix)
	}
}

// TestLoadReportShortAndLongFieldNames checks that both names of each field are parsed.
func TestLoadReportShortAndLongFieldNames(t *testing.T) {
	for _, text := range []string{
		"TEXT busy=0.61, lat_ms=14.5, rif=7, q=2",
		"TEXT util=0.61, latency_ms=14.5, inflight=7, queue=2",
	} {
		report := ParseLoadReport(text)
		if report.Utilization == nil || report.LatencyMS == nil || report.InFlight == nil || report.QueueLength == nil {
			t.Errorf("%s: not all fields are parsed", text)
			continue
		}
		if *report.Utilization != 0.61 || *report.LatencyMS != 14.5 || *report.InFlight != 7 || *report.QueueLength != 2 {
			t.Errorf("%s: parsed as %v, %v, %v, %v; want 0.61, 14.5, 7, 2", text, *report.Utilization, *report.LatencyMS, *report.InFlight, *report.QueueLength)
		}
	}
}
