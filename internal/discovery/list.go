package discovery

import (
	"encoding/json"
	"io"
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
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`    // address, as host:port
	Zone        string  `json:"zone"`        // name of its zone
	Cell        int     `json:"cell"`        // number of its cell
	Lifecycle   string  `json:"lifecycle"`   // Serving, Draining or Deleted
	Weight      float64 `json:"weight"`      // share of the requests, relative to others
	StartedAtMS int64   `json:"startedAtMs"` // Unix time of its last start, in milliseconds
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
