package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// readyTimeout is how long an edge node may take to be ready.
const readyTimeout = 10 * time.Second

// processLimits are the limits of an edge node's process in its configuration.
type processLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// node is an edge node in a process of its own.
type node struct {
	rank      int
	address   string // for clients
	discovery string
	counter   string
	known     []instance
	limits    processLimits
	settings  map[string]any
	cmd       *exec.Cmd
	exited    chan struct{}
}

// start starts the process with the command of the deploy file and waits until it is ready.
func (n *node) start(root, dir string) error {
	path := filepath.Join(dir, fmt.Sprintf("n%d.json", n.rank))
	if err := n.writeConfig(path); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("n%d.log", n.rank)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("/bin/sh", "-c", "exec bin/edgenode")
	n.cmd.Dir = root
	n.cmd.Env = append(os.Environ(), fmt.Sprintf("RELAY_NAME=n%d", n.rank), "RELAY_LISTEN="+n.address,
		"RELAY_DISCOVERY="+n.discovery, "RELAY_CONFIG="+path)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func() {
		n.cmd.Wait()
		close(n.exited)
	}()
	return n.awaitReady()
}

// writeConfig writes the configuration file.
func (n *node) writeConfig(path string) error {
	text, err := json.Marshal(map[string]any{
		"name":      fmt.Sprintf("n%d", n.rank),
		"listen":    n.address,
		"discovery": n.discovery,
		"counter":   n.counter,
		"seed":      strconv.FormatInt(time.Now().UnixNano(), 16),
		"limits":    n.limits,
		"known":     list{Generation: 1, Reset: true, Instances: n.known},
		"settings":  n.settings,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// awaitReady waits until the edge node answers a readiness check with 200.
func (n *node) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && n.running(); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + n.address + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("an edge node is not ready")
}

// running reports whether the process has not ended.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// kill ends the process at once.
func (n *node) kill() {
	n.cmd.Process.Kill()
	<-n.exited
}
