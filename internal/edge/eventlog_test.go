package edge

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"swiftpitch/internal/testsupport"
)

// Guards the log's report on requests that did not take their usual course: it names each reason
// with a count and the last ID, and there is none without such requests.
func TestLogNamesReasonsOfRefusedRequests(t *testing.T) {
	h := startNode(t, testConfig(t), testsupport.StartFakeServer(t, testsupport.RespondOK).Addr)
	for i, request := range []struct {
		text   string
		status int
	}{
		{clientRequest("merge", "00000000000000aa"), http.StatusOK},
		{clientRequest("merge", "00000000000000aa"), http.StatusBadRequest},
		{clientRequest("lookup", "00000000000000bb", "X-Expires-In-Ms: 3000", "X-Expires-In-Ms: 1"), statusRejected},
		{clientRequest("lookup", "00000000000000cc", "X-Expires-In-Ms: 3000", "X-Expires-In-Ms: 1"), statusRejected},
		{clientRequest("lookup", "00000000000000dd", "Api-Plan: basic", "Api-Plan: other"), http.StatusBadRequest},
	} {
		if resp, _ := h.dial().roundTrip(request.text); resp.StatusCode != request.status {
			t.Errorf("request %d: status %d, want %d", i, resp.StatusCode, request.status)
		}
	}
	var log bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&log, nil))
	h.node.requestEvents.report(logger)
	for _, part := range []string{"duplicate_id.count=1 duplicate_id.last_id=00000000000000aa", "malformed.count=1",
		"no_time.count=2 no_time.last_id=00000000000000cc"} {
		if !strings.Contains(log.String(), part) {
			t.Errorf("the log is %q, want it to contain %q", log.String(), part)
		}
	}
	log.Reset()
	h.node.requestEvents.report(logger)
	if log.Len() > 0 {
		t.Errorf("without further events the log is %q, want nothing", log.String())
	}
}
