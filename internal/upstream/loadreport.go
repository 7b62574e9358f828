package upstream

import (
	"strings"

	"swiftpitch/internal/decimal"
	"swiftpitch/internal/policy"
)

// loadReportPrefix names the one format of load reports that is read.
const loadReportPrefix = "TEXT "

// ParseLoadReport parses the load report of a response header, such as
// "TEXT inflight=7, queue=2, util=0.61". Fields that can't be read are left out, as is
// all of a report in another format. Each field has a short name beside the long one.
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
