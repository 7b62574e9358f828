package main

import (
	"bufio"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"swiftpitch/internal/config"
	"swiftpitch/internal/testsupport"
)

// Environment variables that make the test binary run edgenode instead of the tests, see TestMain.
const (
	runMainVariable   = "EDGENODE_TEST_MAIN"
	fileLimitVariable = "EDGENODE_TEST_FILES" // maximum number of open file descriptors
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"counter":"127.0.0.1:9",
 "known":{"generation":41,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:9","zone":"a","lifecycle":"SERVING"}]},
 "settings":{"limits":{"maxAttempts":2},"tiersOfService":[{"name":"p"}],"nInstances":2,
  "familyInfo":{"counter":true},"classes":[{"name":"c","effect":"once","aim":1000000}]}}`

// TestMain runs the tests, or edgenode in a process that a test has started with
// runMainVariable.
func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) == "" {
		os.Exit(m.Run())
	}
	if files, err := strconv.ParseUint(os.Getenv(fileLimitVariable), 10, 64); err == nil {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: files, Max: files}); err != nil {
			panic(err)
		}
	}
	main()
}

// writeConfig writes a configuration file and returns its path.
func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	rewriteConfig(t, path, text)
	return path
}

func rewriteConfig(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards that a valid configuration is read, and that each kind of invalid one gives an error of
// one line.
func TestLoadReadsConfigurationAndReportsFaults(t *testing.T) {
	t.Setenv(config.ListenVariable, "")
	t.Setenv(config.DiscoveryVariable, "")
	cfg, limits, err := load(writeConfig(t, validConfig))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Seed != 0x8c1f30d27a5be964 || limits.Sockets != 1024 || len(cfg.CachedList.Instances) != 1 ||
		cfg.Settings.Gateways != 2 || cfg.Settings.Classes[0].Name != "c" {
		t.Errorf("configuration %+v, limits %+v, want the values of validConfig", cfg, limits)
	}
	for name, text := range map[string]string{
		"form":      validConfig[:20],
		"seed":      strings.Replace(validConfig, "8c1f", "seed", 1),
		"listen":    strings.Replace(validConfig, `"listen"`, `"other"`, 1),
		"discovery": strings.Replace(validConfig, `"discovery"`, `"other"`, 1),
		"counter":   strings.Replace(validConfig, `"counter":"`, `"other":"`, 1),
		"settings":  strings.Replace(validConfig, `"settings"`, `"other"`, 1),
		"known":     strings.Replace(validConfig, `"generation":41`, `"generation":"41"`, 1),
		"effect":    strings.Replace(validConfig, `"once"`, `"twice"`, 1),
		"gateways":  strings.Replace(validConfig, `"nInstances":2`, `"nInstances":0`, 1),
		"no port":   strings.Replace(validConfig, `"discovery":"127.0.0.1:9"`, `"discovery":"127.0.0.1"`, 1),
		"ports":     strings.Replace(validConfig, `"counter":"127.0.0.1:9"`, `"counter":"127.0.0.1:9:9"`, 1),
	} {
		if _, _, err := load(writeConfig(t, text)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("invalid %s: error %v, want one line", name, err)
		}
	}
	for _, path := range []string{"", filepath.Join(t.TempDir(), "none")} {
		if _, _, err := load(path); err == nil {
			t.Errorf("no error for the configuration path %q, where there is no file", path)
		}
	}
}

// addressRecorder is an addressUpdater that records the addresses of each update.
type addressRecorder chan string

// ChangeAddresses implements addressUpdater.
func (a addressRecorder) ChangeAddresses(discovery, counter string) { a <- discovery + " " + counter }

// Guards that a reload of an invalid configuration changes nothing, and that the next valid one
// takes effect.
func TestReloadIgnoresInvalidConfigurations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	hangup := make(chan os.Signal)
	updates := make(addressRecorder, 8)
	done := make(chan struct{})
	go func() {
		defer close(done)
		reload(hangup, path, updates, slog.New(slog.DiscardHandler))
	}()
	otherAddresses := strings.Replace(validConfig, "127.0.0.1:9", "127.0.0.1:7", 2)
	invalid := strings.Replace(otherAddresses, `"aim":1000000`, `"deadline":-1`, 1)
	newDiscovery := strings.Replace(validConfig, `"discovery":"127.0.0.1:9"`, `"discovery":"127.0.0.1:8"`, 1)
	for _, text := range []string{validConfig, validConfig[:30], invalid, newDiscovery} {
		rewriteConfig(t, path, text)
		hangup <- syscall.SIGHUP
		hangup <- syscall.SIGHUP // received only after the first one has been handled
		if text == validConfig {
			<-updates
			<-updates
		}
	}
	close(hangup)
	<-done
	if len(updates) < 2 {
		t.Errorf("%d updates after the last valid configuration, want 2 at least", len(updates))
	}
	close(updates)
	for got := range updates {
		if got != "127.0.0.1:8 127.0.0.1:9" {
			t.Errorf("changed to the addresses %q, want %q", got, "127.0.0.1:8 127.0.0.1:9")
		}
	}
}

// Guards against a new configuration that is not used because the file could not be read for a
// moment.
func TestReloadRetriesUnreadableFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	hangup := make(chan os.Signal)
	updates := make(addressRecorder, 1)
	go reload(hangup, path, updates, slog.New(slog.DiscardHandler))
	hangup <- syscall.SIGHUP // there is no file yet
	if err := os.Rename(writeConfig(t, validConfig), path); err != nil {
		t.Fatal(err)
	}
	testsupport.Receive(t, "the addresses of the configuration", updates)
	close(hangup)
}

// Guards the signals of the running program: SIGHUP reloads the configuration and does not end
// it, not even during the graceful shutdown, and SIGTERM ends it with exit code 0.
func TestSIGHUPReloadsAndSIGTERMShutsDown(t *testing.T) {
	path := writeConfig(t, validConfig)
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), runMainVariable+"=1", config.FileVariable+"="+path)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	signalAfter := map[string]syscall.Signal{ // by part of the log line after which it is sent
		"msg=serving":                  syscall.SIGHUP,
		`msg="configuration reloaded"`: syscall.SIGTERM,
		"msg=draining":                 syscall.SIGHUP,
	}
	var lines []string
	for input := bufio.NewScanner(log); input.Scan(); {
		line := input.Text()
		lines = append(lines, line)
		for part, signal := range signalAfter {
			if strings.Contains(line, part) {
				delete(signalAfter, part)
				cmd.Process.Signal(signal)
			}
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the process ended with %v, want exit code 0; log: %q", err, lines)
	}
}
