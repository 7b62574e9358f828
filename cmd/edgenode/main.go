// Command edgenode is one edge node: it forwards clients' requests to the booking servers that
// discovery lists, as the policy decides.
//
// It takes its configuration from the file that the environment variable RELAY_CONFIG names.
// SIGHUP makes it read the file again and move to the addresses named there; SIGTERM and
// SIGINT begin a graceful shutdown.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"swiftpitch/internal/config"
	"swiftpitch/internal/discovery"
	"swiftpitch/internal/edge"
)

func main() {
	// SIGHUP is caught first of all: uncaught it would end the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	if err := run(hangup); err != nil {
		fmt.Fprintln(os.Stderr, "edgenode:", err)
		os.Exit(1)
	}
}

// run serves until a signal ends the node, and reloads its configuration at each hangup.
func run(hangup <-chan os.Signal) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	path := os.Getenv(config.FileVariable)
	cfg, limits, err := load(path)
	if err != nil {
		return err
	}
	applyRuntimeLimits(limits)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	node, err := edge.New(cfg, log)
	if err != nil {
		return err
	}
	go reload(hangup, path, node, log)
	return node.Run(ctx)
}

// load reads the configuration file and turns it into the node's configuration.
func load(path string) (edge.Config, config.ProcessLimits, error) {
	file, err := config.Load(path)
	if err != nil {
		return edge.Config{}, config.ProcessLimits{}, err
	}
	var known discovery.List
	if len(file.CachedList) > 0 {
		if err := json.Unmarshal(file.CachedList, &known); err != nil {
			err = &config.KeyError{Key: "known", Err: err}
			return edge.Config{}, config.ProcessLimits{}, fmt.Errorf("configuration: %w", err)
		}
	}
	return edge.Config{
		ListenAddress:    file.Listen,
		DiscoveryAddress: file.Discovery,
		CounterAddress:   file.Counter,
		Seed:             file.Seed,
		MaxDescriptors:   file.ProcessLimits.Sockets,
		MemoryBytes:      file.ProcessLimits.MemoryBytes(),
		KnownEndpoints:   known,
		Settings:         file.Settings,
	}, file.ProcessLimits, nil
}

// addressUpdater is what a new configuration acts on, an [edge.Node].
type addressUpdater interface {
	ChangeAddresses(discovery, counter string)
}

// reload reads the configuration anew at each signal until the channel is closed. One that
// can't be used changes nothing.
func reload(hangup <-chan os.Signal, path string, node addressUpdater, log *slog.Logger) {
	for range hangup {
		cfg, _, err := load(path)
		if err != nil {
			log.Error("kept the old configuration", "err", err)
			continue
		}
		node.ChangeAddresses(cfg.DiscoveryAddress, cfg.CounterAddress)
		log.Info("took the new configuration", "discovery", cfg.DiscoveryAddress, "counter", cfg.CounterAddress)
	}
}

// heapLimitFraction is the part of the memory limit that the runtime is told to stay below. Over half
// of it is priced, and the kernel's part and the stacks come on top of the heap.
const heapLimitFraction = 0.4

// applyRuntimeLimits tells the runtime the limits of the process. The garbage collector keeps
// its usual pace: run more seldom it lets the process grow through a long day, and growth is
// priced as well.
func applyRuntimeLimits(limits config.ProcessLimits) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(limits.Cores)))
	}
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapLimitFraction * float64(limits.MemoryBytes())))
	}
}
