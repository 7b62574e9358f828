package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"swiftpitch/internal/policy"
)

// The environment variables of an edge node. An address in the file takes precedence over the
// variable.
const (
	FileVariable      = "RELAY_CONFIG"    // path of the configuration file
	ListenVariable    = "RELAY_LISTEN"    // address for clients
	DiscoveryVariable = "RELAY_DISCOVERY" // address of discovery
)

// bytesPerMB is the number of bytes in a megabyte of the limit memory_mb.
const bytesPerMB = 1 << 20

// File is a configuration file after validation, with addresses from the environment filled in.
type File struct {
	Listen        string          // address for clients
	Discovery     string          // address of discovery
	Counter       string          // address of the counter; empty if there is none
	Seed          uint64          // of the random numbers of this run of the node
	ProcessLimits ProcessLimits   // resource limits of the process
	CachedList    json.RawMessage // list of endpoints last received from discovery, in discovery's format; empty if there is none
	Settings      *Settings
}

// ProcessLimits holds the resource limits of the process; 0 means not specified.
type ProcessLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// MemoryBytes returns the memory limit in bytes.
func (l ProcessLimits) MemoryBytes() int64 { return int64(l.MemoryMB) * bytesPerMB }

// document is the JSON form of a configuration file.
type document struct {
	Name          string          `json:"name"` // for human readers only
	Listen        string          `json:"listen"`
	Discovery     string          `json:"discovery"`
	Counter       string          `json:"counter"`
	Seed          string          `json:"seed"` // hexadecimal
	ProcessLimits ProcessLimits   `json:"limits"`
	CachedList    json.RawMessage `json:"known"`
	Settings      json.RawMessage `json:"settings"`
}

// Load reads and validates the configuration file at path. Addresses that the file leaves out
// are taken from the environment. If a key is missing or invalid, the returned error wraps a
// [*KeyError]; if the text is malformed or a value outside the settings has the wrong JSON type,
// it wraps the error of [encoding/json]. An empty path is an error of [FileVariable], which was
// not set.
func Load(path string) (*File, error) {
	file, err := load(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return file, nil
}

func load(path string) (*File, error) {
	if path == "" {
		return nil, missingKeyError(FileVariable)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, err
	}
	doc.applyEnvironment()
	return doc.validate()
}

// applyEnvironment takes the addresses that the file leaves out from the environment.
func (d *document) applyEnvironment() {
	if d.Listen == "" {
		d.Listen = os.Getenv(ListenVariable)
	}
	if d.Discovery == "" {
		d.Discovery = os.Getenv(DiscoveryVariable)
	}
}

// validate checks the document and returns it as a File, or the error of the first invalid key.
func (d *document) validate() (*File, error) {
	seed, err := strconv.ParseUint(d.Seed, 16, 64)
	if err != nil {
		return nil, &KeyError{Key: "seed", Err: err}
	}
	if err := d.checkRequiredKeys(); err != nil {
		return nil, err
	}
	settings, err := Decode(d.Settings)
	if err != nil {
		return nil, &KeyError{Key: "settings", Err: err}
	}
	if settings.Accounting.CounterEnabled && d.Counter == "" {
		return nil, missingKeyError("counter")
	}
	if err := d.checkAddresses(); err != nil {
		return nil, err
	}
	// The policy validates its own settings.
	if _, err := policy.New(0, settings.Policy(seed)); err != nil {
		return nil, &KeyError{Key: "settings", Err: err}
	}
	return &File{
		Listen:        d.Listen,
		Discovery:     d.Discovery,
		Counter:       d.Counter,
		Seed:          seed,
		ProcessLimits: d.ProcessLimits,
		CachedList:    d.CachedList,
		Settings:      settings,
	}, nil
}

// checkRequiredKeys checks that the keys that every configuration needs are set.
func (d *document) checkRequiredKeys() error {
	switch {
	case d.Listen == "":
		return missingKeyError("listen")
	case d.Discovery == "":
		return missingKeyError("discovery")
	case len(d.Settings) == 0:
		return missingKeyError("settings")
	}
	return nil
}

// checkAddresses checks that each address that is set has the form host:port.
func (d *document) checkAddresses() error {
	addresses := []struct{ key, address string }{
		{"listen", d.Listen},
		{"discovery", d.Discovery},
		{"counter", d.Counter},
	}
	for _, entry := range addresses {
		if entry.address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(entry.address); err != nil {
			return &KeyError{Key: entry.key, Err: err}
		}
	}
	return nil
}
