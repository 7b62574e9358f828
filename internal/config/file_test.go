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

// clearEnvironment empties the environment variables of the addresses, so that no address comes
// from the environment.
func clearEnvironment(t *testing.T) {
	t.Helper()
	t.Setenv(config.ListenVariable, "")
	t.Setenv(config.DiscoveryVariable, "")
}

// Guards that each key of a configuration file is read into its field.
func TestLoadReadsEveryKey(t *testing.T) {
	clearEnvironment(t)
	file, err := config.Load(writeFile(t, validFile))
	if err != nil {
		t.Fatal(err)
	}
	if file.Listen != "127.0.0.1:1" || file.Discovery != "127.0.0.1:2" || file.Counter != "127.0.0.1:3" {
		t.Errorf("listen %q, discovery %q, counter %q, want the file's 127.0.0.1:1, :2 and :3", file.Listen, file.Discovery, file.Counter)
	}
	if file.Seed != 0x8c1f30d27a5be964 {
		t.Errorf("seed %x, want 8c1f30d27a5be964", file.Seed)
	}
	if file.ProcessLimits != (config.ProcessLimits{Cores: 1.5, MemoryMB: 192, Sockets: 1024}) {
		t.Errorf("limits %+v, want 1.5 cores, 192 MB, 1024 sockets", file.ProcessLimits)
	}
	if got := file.ProcessLimits.MemoryBytes(); got != 192<<20 {
		t.Errorf("memory limit of %d bytes, want %d", got, 192<<20)
	}
	if string(file.CachedList) != `{"generation":41}` {
		t.Errorf("known %s, want generation 41", file.CachedList)
	}
	if file.Settings.Gateways != 2 || file.Settings.Classes[0].Name != "c" {
		t.Errorf("settings %+v, want 2 gateways and class c", file.Settings)
	}
}

// Guards that an address is taken from the environment only if the file leaves it out.
func TestLoadTakesAddressesFromEnvironment(t *testing.T) {
	t.Setenv(config.ListenVariable, "127.0.0.1:8")
	t.Setenv(config.DiscoveryVariable, "127.0.0.1:9")
	file, err := config.Load(writeFile(t, strings.Replace(validFile, `"listen"`, `"other"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if file.Listen != "127.0.0.1:8" || file.Discovery != "127.0.0.1:2" {
		t.Errorf("listen %q, discovery %q, want 127.0.0.1:8 of the environment and 127.0.0.1:2 of the file", file.Listen, file.Discovery)
	}
}

// Guards that an error names the invalid key, has one line, and wraps its cause.
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
			t.Errorf("%s: error %v, want one line with a KeyError of key %q and its cause", c.name, err, c.key)
		}
	}
}

// Guards the errors that concern the file as a whole: no path, no such file, malformed JSON.
func TestLoadReportsUnreadableFile(t *testing.T) {
	clearEnvironment(t)
	_, err := config.Load("")
	var keyError *config.KeyError
	if !errors.As(err, &keyError) || keyError.Key != config.FileVariable || !errors.Is(err, config.ErrMissing) {
		t.Errorf("empty path: error %v, want ErrMissing for %s", err, config.FileVariable)
	}
	_, err = config.Load(filepath.Join(t.TempDir(), "none"))
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no such file: error %v, want fs.ErrNotExist", err)
	}
	_, err = config.Load(writeFile(t, validFile[:20]))
	var syntaxError *json.SyntaxError
	if !errors.As(err, &syntaxError) {
		t.Errorf("malformed JSON: error %v, want a json.SyntaxError", err)
	}
}

// Guards that an unknown name of an enumerated value is rejected with an error that names the key
// and the value.
func TestDecodeErrorsNameUnknownValues(t *testing.T) {
	for key, want := range map[string]string{
		"effect": `malformed: effect: unknown value "maybe"`,
		"group":  `malformed: group: unknown value "maybe"`,
	} {
		_, err := config.Decode([]byte(`{"classes":[{"` + key + `":"maybe"}]}`))
		var keyError *config.KeyError
		if !errors.As(err, &keyError) || keyError.Key != key || !errors.Is(err, config.ErrUnknownValue) {
			t.Errorf("%s: error %v, want ErrUnknownValue for key %s", key, err, key)
		}
		if err != nil && err.Error() != want {
			t.Errorf("%s: error %q, want %q", key, err, want)
		}
	}
}
