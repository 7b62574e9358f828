package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"

	"swiftpitch/internal/policy"
)

// The environment variables of an edge node. An address in the file takes precedence over its variable.
const (
	FileVariable      = "RELAY_CONFIG"    // path of the configuration file
	ListenVariable    = "RELAY_LISTEN"    // address for clients, if the file names none
	DiscoveryVariable = "RELAY_DISCOVERY" // address of discovery, if the file names none
)

// bytesPerMB is how many bytes a megabyte of the file counts.
const bytesPerMB = 1 << 20

// File is a configuration file, complete and checked.
type File struct {
	Listen        string          // address for clients
	Discovery     string          // address of discovery
	Counter       string          // address of the counter; empty: none
	Seed          uint64          // of this incarnation's random numbers
	ProcessLimits ProcessLimits   // what the machine allows the process
	CachedList    json.RawMessage // discovery's list as last received, in discovery's form; empty: none
	Settings      *Settings
}

// ProcessLimits is what the machine allows the process; 0 means that nothing is said.
type ProcessLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// MemoryBytes returns the limit of the memory in bytes.
func (l ProcessLimits) MemoryBytes() int64 { return int64(l.MemoryMB) * bytesPerMB }

// document is the JSON form of a configuration file.
type document struct {
	Name          string          `json:"name"` // for those who read the file
	Listen        string          `json:"listen"`
	Discovery     string          `json:"discovery"`
	Counter       string          `json:"counter"`
	Seed          string          `json:"seed"` // hexadecimal
	ProcessLimits ProcessLimits   `json:"limits"`
	CachedList    json.RawMessage `json:"known"`
	Settings      json.RawMessage `json:"settings"`
}

// Load reads and checks the configuration file at a path, which is empty if [FileVariable] is
// not set. Addresses that it leaves out are taken from the environment. A fault of one key is
// a [*KeyError] in the error's chain.
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

// applyEnvironment fills in the addresses that the file leaves out.
func (d *document) applyEnvironment() {
	if d.Listen == "" {
		d.Listen = os.Getenv(ListenVariable)
	}
	if d.Discovery == "" {
		d.Discovery = os.Getenv(DiscoveryVariable)
	}
}

// validate returns the file that the document stands for, or the error of the first key at fault.
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
	// The policy checks its own settings.
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

// checkRequiredKeys checks that every key is set that each configuration needs.
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

// checkAddresses checks that each address that is set has a host and a port.
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
