package discovery

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards that the error of a call that the service rejects names the address and the status.
func TestFetchErrorNamesAddressAndStatus(t *testing.T) {
	service := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(service.Close)
	address := strings.TrimPrefix(service.URL, "http://")
	_, err := fetch(t.Context(), service.Client(), &call{address: address, fullList: true, timeout: 20 * time.Second})
	var status *StatusError
	if !errors.As(err, &status) || status.Address != address || status.Code != http.StatusNotFound {
		t.Errorf("error %v, want a StatusError with status 404 of %s", err, address)
	}
}

// Guards the URL of a call, which asks for the full list or for the changes after a version.
func TestCallURLAsksForFullListOrChanges(t *testing.T) {
	tests := []struct {
		call call
		want string
	}{
		{call{address: "host:1", fullList: true, index: 7, longPollWait: time.Second}, "http://host:1/api/targets"},
		{call{address: "host:1", index: 7, longPollWait: 1500 * time.Millisecond}, "http://host:1/api/targets?index=7&wait=1500"},
	}
	for _, test := range tests {
		if got := test.call.url(); got != test.want {
			t.Errorf("URL of %+v: %s, want %s", test.call, got, test.want)
		}
	}
}
