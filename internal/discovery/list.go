package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxListBytes bounds the JSON text of a list, in bytes.
const maxListBytes = 8 << 20

// The values of [Instance.Lifecycle].
const (
	Serving  = "SERVING"  // takes new requests
	Draining = "DRAINING" // finishes what it has and shuts down
	Deleted  = "DELETED"  // is gone
)

// List is a list of endpoints in the JSON form of the discovery service. It is either the
// full list or an incremental update that names only the endpoints that changed.
type List struct {
	// Generation is the version of the list. A watch asks for what changed after it.
	Generation int64 `json:"generation"`
	// Reset tells that the list is full although only changes were asked for.
	Reset     bool       `json:"reset"`
	Instances []Instance `json:"instances"`
}

// Instance is one endpoint of a [List].
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`    // address, as host:port
	Zone      string  `json:"zone"`        // name of its zone
	Cell      int     `json:"cell"`        // number of its cell
	Lifecycle string  `json:"lifecycle"`   // Serving, Draining or Deleted
	Weight    float64 `json:"weight"`      // share of the requests, relative to others
	StartedAt int64   `json:"startedAtMs"` // Unix time of its last start, in milliseconds
}

// StatusError reports an HTTP status other than 200 from the discovery service.
type StatusError struct {
	Address string // of the discovery service
	Code    int    // HTTP status
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery at %s: status %d", e.Address, e.Code)
}

// call is what one call to the discovery service asks for and how long it may take.
type call struct {
	fullList     bool          // else only what changed after index
	index        int64         // version of the known list
	longPollWait time.Duration // for which the service may hold a call that has nothing to report
	timeout      time.Duration // after which the call has failed
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
		return List{}, fmt.Errorf("reading the list of discovery at %s: %w", address, err)
	}
	return list, nil
}

// decodeList reads the JSON form of a list.
func decodeList(body io.Reader) (List, error) {
	var list List
	text, err := io.ReadAll(io.LimitReader(body, maxListBytes))
	if err != nil {
		return List{}, err
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return List{}, err
	}
	return list, nil
}
