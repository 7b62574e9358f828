package config_test

import (
	"encoding/json"
	"errors"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"swiftpitch/internal/config"
)

const validFile = `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","counter":"127.0.0.1:3",
 "seed":"8c1f30d27a5be964","limits":{"cores":1.5,"memory_mb":192,"sockets":1024},
 "known":{"generation":41},
 "settings":{"limits":{"maxAttempts":2},"tiersOfService":[{"name":"p"}],"nInstances":2,
  "familyInfo":{"counter":true},"classes":[{"name":"c","effect":"once","aim":1000000}]}}`

// writeFile writes a configuration file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// clearEnvironment makes sure that no address comes from the environment.
func clearEnvironment(t *testing.T) {
	t.Helper()
	t.Setenv(config.ListenVariable, "")
	t.Setenv(config.DiscoveryVariable, "")
}

// Guards what is read from a configuration file.
func TestLoadReadsEveryKey(t *testing.T) {
	clearEnvironment(t)
	file, err := config.Load(writeFile(t, validFile))
	if err != nil {
		t.Fatal(err)
	}
	if file.Listen != "127.0.0.1:1" || file.Discovery != "127.0.0.1:2" || file.Counter != "127.0.0.1:3" {
		t.Errorf("addresses: %q, %q, %q", file.Listen, file.Discovery, file.Counter)
	}
	if file.Seed != 0x8c1f30d27a5be964 {
		t.Errorf("seed: %x", file.Seed)
	}
	if file.ProcessLimits != (config.ProcessLimits{Cores: 1.5, MemoryMB: 192, Sockets: 1024}) {
		t.Errorf("limits: %+v", file.ProcessLimits)
	}
	if got := file.ProcessLimits.MemoryBytes(); got != 192<<20 {
		t.Errorf("memory: %d bytes", got)
	}
	if string(file.CachedList) != `{"generation":41}` {
		t.Errorf("known: %s", file.CachedList)
	}
	if file.Settings.Gateways != 2 || file.Settings.Classes[0].Name != "c" {
		t.Errorf("settings: %+v", file.Settings)
	}
}

// Guards that the environment gives the addresses that the file leaves out, and no others.
func TestLoadTakesAddressesFromEnvironment(t *testing.T) {
	t.Setenv(config.ListenVariable, "127.0.0.1:8")
	t.Setenv(config.DiscoveryVariable, "127.0.0.1:9")
	file, err := config.Load(writeFile(t, strings.Replace(validFile, `"listen"`, `"other"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if file.Listen != "127.0.0.1:8" || file.Discovery != "127.0.0.1:2" {
		t.Errorf("addresses: %q, %q", file.Listen, file.Discovery)
	}
}

// Guards that an error names the key at fault, in one line, and wraps its cause.
func TestLoadErrorsNameTheKey(t *testing.T) {
	clearEnvironment(t)
	isMissing := func(err error) bool { return errors.Is(err, config.ErrMissing) }
	isUnknownValue := func(err error) bool { return errors.Is(err, config.ErrUnknownValue) }
	isAddressError := func(err error) bool {
		var addressError *net.AddrError
		return errors.As(err, &addressError)
	}
	isSyntaxError := func(err error) bool { return errors.Is(err, strconv.ErrSyntax) }
	isAny := func(error) bool { return true }
	for _, c := range []struct {
		name     string
		old, new string // replaced once in the valid file
		key      string
		isCause  func(error) bool
	}{
		{"no listen", `"listen"`, `"other"`, "listen", isMissing},
		{"no discovery", `"discovery"`, `"other"`, "discovery", isMissing},
		{"no settings", `"settings"`, `"other"`, "settings", isMissing},
		{"no counter", `"counter":"`, `"other":"`, "counter", isMissing},
		{"seed", "8c1f", "seed", "seed", isSyntaxError},
		{"listen without port", "127.0.0.1:1", "127.0.0.1", "listen", isAddressError},
		{"discovery without port", "127.0.0.1:2", "127.0.0.1", "discovery", isAddressError},
		{"counter with two ports", "127.0.0.1:3", "127.0.0.1:3:3", "counter", isAddressError},
		{"unknown effect", `"once"`, `"twice"`, "settings", isUnknownValue},
		{"no gateways", `"nInstances":2`, `"nInstances":0`, "settings", isAny},
	} {
		_, err := config.Load(writeFile(t, strings.Replace(validFile, c.old, c.new, 1)))
		var keyError *config.KeyError
		if !errors.As(err, &keyError) || keyError.Key != c.key || !c.isCause(err) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want an error of key %q", c.name, err, c.key)
		}
	}
}

// Guards the errors that belong to no key of the file.
func TestLoadReportsUnreadableFile(t *testing.T) {
	clearEnvironment(t)
	_, err := config.Load("")
	var keyError *config.KeyError
	if !errors.As(err, &keyError) || keyError.Key != config.FileVariable || !errors.Is(err, config.ErrMissing) {
		t.Errorf("without a path: %v", err)
	}
	_, err = config.Load(filepath.Join(t.TempDir(), "none"))
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("without a file: %v", err)
	}
	_, err = config.Load(writeFile(t, validFile[:20]))
	var syntaxError *json.SyntaxError
	if !errors.As(err, &syntaxError) {
		t.Errorf("malformed: %v", err)
	}
}

// Guards that names outside the lists are rejected with their key and value.
func TestDecodeErrorsNameUnknownValues(t *testing.T) {
	for key, want := range map[string]string{
		"effect": `malformed: effect: unknown value "maybe"`,
		"group":  `malformed: group: unknown value "maybe"`,
	} {
		_, err := config.Decode([]byte(`{"classes":[{"` + key + `":"maybe"}]}`))
		var keyError *config.KeyError
		if !errors.As(err, &keyError) || keyError.Key != key || !errors.Is(err, config.ErrUnknownValue) {
			t.Errorf("%s: %v", key, err)
		}
		if err != nil && err.Error() != want {
			t.Errorf("%s: %q, want %q", key, err, want)
		}
	}
}
