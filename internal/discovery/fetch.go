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

// call is one call to the discovery service. Its fields do not change.
type call struct {
	number        int           // counts the calls of a node, from 1
	address       string        // of the discovery service
	addressNumber int           // counts the addresses, from 1
	startedAt     time.Duration // time since the origin of the schedule's time

	fullList     bool          // asks for the full list, else for the changes after index
	index        int64         // version of the list that the node has
	longPollWait time.Duration // how long the service may hold the call while nothing changes
	overdueAfter time.Duration // time after which the next call is scheduled
	timeout      time.Duration // time after which the call fails
}

// url returns the URL of the call.
func (c *call) url() string {
	url := "http://" + c.address + "/api/targets"
	if c.fullList {
		return url
	}
	return url + "?index=" + strconv.FormatInt(c.index, 10) +
		"&wait=" + strconv.FormatInt(c.longPollWait.Milliseconds(), 10)
}

// fetch makes a call to the discovery service.
func fetch(ctx context.Context, client *http.Client, c *call) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(), nil)
	if err != nil {
		return List{}, fmt.Errorf("calling discovery at %s: %w", c.address, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return List{}, fmt.Errorf("calling discovery at %s: %w", c.address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, &StatusError{Address: c.address, Code: resp.StatusCode}
	}
	list, err := decodeList(resp.Body)
	if err != nil {
		return List{}, fmt.Errorf("reading the endpoint list from discovery at %s: %w", c.address, err)
	}
	return list, nil
}
