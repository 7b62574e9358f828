package frontend

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"swiftpitch/internal/config"
	"swiftpitch/internal/policy"
)

// parserSettings returns settings with one class of each kind of idempotency.
func parserSettings() *config.Settings {
	return &config.Settings{
		Gateways:   2,
		Accounting: config.Accounting{MaxRequestUnits: 6},
		Plans:      []config.Plan{{Name: "basic"}},
		Classes: []config.Class{
			{Name: "lookup", Idempotency: config.Idempotency(policy.Idempotent), Deadline: time.Second},
			{Name: "save", Idempotency: config.Idempotency(policy.IdempotentByKey), DedupWindow: time.Minute},
			{Name: "merge", Idempotency: config.Idempotency(policy.NonIdempotent)},
		},
	}
}

// newHTTPRequest returns a valid request of a class.
func newHTTPRequest(class string) *http.Request {
	req := httptest.NewRequest(http.MethodGet, "/"+class+"/x?q=1", nil)
	if class != "lookup" {
		req = httptest.NewRequest(http.MethodPost, "/"+class+"/x?q=1", strings.NewReader("0123456789"))
	}
	req.Host = "api.internal"
	req.Header = http.Header{"X-Trace-Id": {"00000000000000aa"}, "X-Qos": {class}, "Api-Plan": {"basic"},
		"Api-Customer": {"00000000b4d65521"}, "X-Expires-In-Ms": {"3000"}, "Api-Terms": {"units=2,spread=2,first=1"}}
	if class == "save" {
		req.Header.Set("Idempotency-Key", "k-1")
	}
	return req
}

// Guards the result of parsing a valid request of each class.
func TestParseValidRequest(t *testing.T) {
	for i, want := range []struct {
		class, body, head string
		timeout, window   time.Duration
	}{
		{"lookup", "", "GET /lookup/x?q=1 HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: 00000000000000aa\r\nX-Expires-In-Ms: ",
			time.Second, 0}, // the class's deadline is shorter than the request's timeout
		{"save", "0123456789", "POST /save/x?q=1 HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: 00000000000000aa\r\n" +
			"Idempotency-Key: k-1\r\nContent-Length: 10\r\nX-Expires-In-Ms: ", 3 * time.Second, time.Minute},
		{"merge", "0123456789", "POST /merge/x?q=1 HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: 00000000000000aa\r\n" +
			"Content-Length: 10\r\nX-Expires-In-Ms: ", 3 * time.Second, 0},
	} {
		got, err := NewParser(parserSettings()).Parse(newHTTPRequest(want.class))
		if err != nil {
			t.Errorf("%s: %v", want.class, err)
			continue
		}
		event := policy.RequestReceived{RequestID: "00000000000000aa", Class: i, Tenant: 0xb4d65521, Timeout: want.timeout,
			Units: 2, TenantGateways: 2}
		if got.Event != event {
			t.Errorf("%s: event %+v, want %+v", want.class, got.Event, event)
		}
		if string(got.ForwardHead) != want.head || string(got.Body) != want.body {
			t.Errorf("%s: head %q, body %q; want %q, %q", want.class, got.ForwardHead, got.Body, want.head, want.body)
		}
		if got.Deadline.Sub(got.ReceivedAt) != want.timeout || got.DedupWindow != want.window {
			t.Errorf("%s: %v until the deadline, dedup window %v; want %v, %v", want.class, got.Deadline.Sub(got.ReceivedAt), got.DedupWindow,
				want.timeout, want.window)
		}
	}
}

// Guards that the mark of a client's retry changes nothing: each try is decided like any other.
func TestMarkOfRetryIsIgnored(t *testing.T) {
	parser := NewParser(parserSettings())
	unmarked, err := parser.Parse(newHTTPRequest("lookup"))
	if err != nil {
		t.Fatal(err)
	}
	req := newHTTPRequest("lookup")
	req.Header.Set("X-Second-Try", "1")
	marked, err := parser.Parse(req)
	if err != nil || marked.Event != unmarked.Event || string(marked.ForwardHead) != string(unmarked.ForwardHead) {
		t.Errorf("marked retry: %+v, error %v; want %+v", marked, err, unmarked)
	}
}

// setHeader returns an edit of a request that replaces the values of a header.
func setHeader(name string, values ...string) func(*http.Request) {
	return func(req *http.Request) { req.Header[name] = values }
}

// parseErrorTests lists edits that make a valid request of a class invalid, and the texts of
// the resulting errors.
var parseErrorTests = []struct {
	class string
	edit  func(*http.Request)
	text  string
}{
	{"lookup", func(req *http.Request) { req.ProtoMinor = 0 }, "wanted: HTTP/1.1 with a Content-Length"},
	{"merge", func(req *http.Request) { req.TransferEncoding = []string{"chunked"} }, "wanted: HTTP/1.1 with a Content-Length"},
	{"lookup", func(req *http.Request) { req.Host = "a b" }, "target or Host can't be passed on"},
	{"lookup", setHeader("X-Trace-Id"), "X-Trace-Id: wanted once"},
	{"lookup", setHeader("X-Qos", "lookup", "lookup"), "X-Qos: wanted once"},
	{"lookup", setHeader("Api-Terms", ""), "Api-Terms: wanted once"},
	{"lookup", setHeader("Api-Plan", "gold"), "unknown class or plan"},
	{"lookup", setHeader("X-Qos", "gold"), "unknown class or plan"},
	{"lookup", setHeader("X-Trace-Id", "aa"), "X-Trace-Id: no id"},
	{"lookup", func(req *http.Request) { req.RequestURI = "/lookups" }, "the path is not of class lookup"},
	{"lookup", setHeader("Api-Customer", "00000002b4d65521"), "Api-Customer: no customer"},
	{"lookup", setHeader("X-Expires-In-Ms", "0"), "X-Expires-In-Ms: no number of milliseconds"},
	{"lookup", setHeader("Api-Terms", "units=NaN,spread=2,first=1"), `Api-Terms: "units" is no number`},
	{"lookup", setHeader("Api-Terms", "units=2,units=3"), "Api-Terms: units stands twice"},
	{"lookup", setHeader("Api-Terms", "units=7,spread=2,first=1"), "Api-Terms: units out of range"},
	{"lookup", setHeader("Api-Terms", "units=2,spread=1.5,first=1"), "Api-Terms: spread out of range"},
	{"lookup", setHeader("Api-Terms", "units=2,spread=2,first=2"), "Api-Terms: first out of range"},
	{"lookup", setHeader("Api-Terms", "units=2,spread=2,other=1"), "Api-Terms: units, spread and first are wanted"},
	{"merge", setHeader("Idempotency-Key", "k"), "method or Idempotency-Key does not fit class merge"},
	{"save", setHeader("Idempotency-Key", strings.Repeat("k", 257)), "method or Idempotency-Key does not fit class save"},
	{"lookup", func(req *http.Request) { req.ContentLength = 1 }, "body too long"},
	{"merge", func(req *http.Request) { req.ContentLength = MaxBodyBytes + 1 }, "body too long"},
	{"merge", func(req *http.Request) { req.ContentLength = 11 }, "body: unexpected EOF"},
}

// Guards the error texts, which clients receive as bodies of responses, and the header or
// class that an error names.
func TestParseErrors(t *testing.T) {
	for _, c := range parseErrorTests {
		req := newHTTPRequest(c.class)
		c.edit(req)
		_, err := NewParser(parserSettings()).Parse(req)
		if err == nil || err.Error() != c.text {
			t.Errorf("error %q, want %q", err, c.text)
			continue
		}
		header, _, hasColon := strings.Cut(c.text, ": ")
		if fault, ok := errors.AsType[*HeaderError](err); ok && (fault.Header != header || !hasColon) {
			t.Errorf("error %q names the header %q, want %q", c.text, fault.Header, header)
		}
		if fault, ok := errors.AsType[*ClassError](err); ok && fault.Class != c.class {
			t.Errorf("error %q names the class %q, want %q", c.text, fault.Class, c.class)
		}
	}
}
