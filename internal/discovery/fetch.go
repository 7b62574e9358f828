package discovery

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// StatusError reports an HTTP status other than 200 from the discovery service.
type StatusError struct {
	Address string // of the discovery service
	Code    int    // HTTP status
}

// Error names the address and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery at %s: HTTP status %d, want 200", e.Address, e.Code)
}

// call describes one call to the discovery service.
type call struct {
	fullList     bool          // asks for the full list, else for the changes after index
	index        int64         // version of the list that the node has
	longPollWait time.Duration // how long the service may hold the call while nothing changes
	timeout      time.Duration // time after which the call fails
}

// url returns the URL of the call at an address of the discovery service.
func (c call) url(address string) string {
	url := "http://" + address + "/api/targets"
	if c.fullList {
		return url
	}
	return url + "?index=" + strconv.FormatInt(c.index, 10) +
		"&wait=" + strconv.FormatInt(c.longPollWait.Milliseconds(), 10)
}

// fetch makes one call to the discovery service at an address.
func fetch(ctx context.Context, client *http.Client, address string, next call) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, next.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, next.url(address), nil)
	if err != nil {
		return List{}, fmt.Errorf("calling discovery at %s: %w", address, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("calling discovery at %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, &StatusError{Address: address, Code: resp.StatusCode}
	}
	list, err := decodeList(resp.Body)
	if err != nil {
		return List{}, fmt.Errorf("reading the endpoint list from discovery at %s: %w", address, err)
	}
	return list, nil
}
