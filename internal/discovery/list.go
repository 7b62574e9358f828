package discovery

import (
	"encoding/json"
	"io"
)

// maxListBytes limits the JSON text of a list, in bytes.
const maxListBytes = 8 << 20

// The values of [Instance.Lifecycle].
const (
	Serving  = "SERVING"  // takes new requests
	Draining = "DRAINING" // finishes its open requests and shuts down
	Deleted  = "DELETED"  // no longer exists
)

// List is a list of endpoints in the JSON format of the discovery service. It is either the
// full list or an incremental update that contains only the endpoints that changed.
type List struct {
	// Generation is the version of the list. A call passes it to ask for later changes only.
	Generation int64 `json:"generation"`
	// Reset reports that the list is full although only changes were asked for.
	Reset     bool       `json:"reset"`
	Instances []Instance `json:"instances"`
}

// Instance is one endpoint of a [List].
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`    // address, as host:port
	Zone        string  `json:"zone"`        // name of its zone
	Cell        int     `json:"cell"`        // number of its cell
	Lifecycle   string  `json:"lifecycle"`   // Serving, Draining or Deleted
	Weight      float64 `json:"weight"`      // share of the requests relative to other endpoints
	StartedAtMS int64   `json:"startedAtMs"` // Unix time of its last start, in milliseconds
}

// decodeList reads the JSON text of a list.
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
