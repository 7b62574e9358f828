package upstream

import (
	"strings"

	"swiftpitch/internal/decimal"
	"swiftpitch/internal/policy"
)

// loadReportPrefix marks the only supported format of load reports.
const loadReportPrefix = "TEXT "

// ParseLoadReport parses the load report of a response header, such as
// "TEXT inflight=7, queue=2, util=0.61". Malformed fields are omitted, and a report in
// another format yields an empty result. Each field has a long and a short name.
func ParseLoadReport(text string) policy.LoadReport {
	var report policy.LoadReport
	fields, ok := strings.CutPrefix(text, loadReportPrefix)
	if !ok {
		return report
	}
	for field := range strings.SplitSeq(fields, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(field), "=")
		value, ok := decimal.Parse(text)
		if !ok {
			continue
		}
		switch name {
		case "inflight", "rif":
			report.InFlight = &value
		case "queue", "q":
			report.QueueLength = &value
		case "util", "busy":
			report.Utilization = &value
		case "latency_ms", "lat_ms":
			report.LatencyMS = &value
		}
	}
	return report
}
