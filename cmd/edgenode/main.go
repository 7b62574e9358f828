// Command edgenode runs one edge node, which forwards clients' requests to the booking servers
// listed by discovery, as the policy decides.
//
// It reads its configuration from the file that the environment variable RELAY_CONFIG names.
// SIGHUP makes it read the file again and use the addresses of discovery and of the counter
// given there. SIGTERM and SIGINT start a graceful shutdown.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"swiftpitch/internal/asyncwriter"
	"swiftpitch/internal/config"
	"swiftpitch/internal/discovery"
	"swiftpitch/internal/edge"
)

const (
	// maxPendingLogLines limits the lines of the log that are not written yet.
	maxPendingLogLines = 256
	// logFlushTimeout limits how long the end of the process waits for the log.
	logFlushTimeout = 20 * time.Millisecond
	// maxLoadRetries and loadRetryDelay limit how long a configuration file that can't be read is
	// tried again: a new address must be in use 4 s after the signal.
	maxLoadRetries = 10
	loadRetryDelay = 100 * time.Millisecond
)

func main() {
	// SIGHUP is caught before anything else, because it ends the process if it is not caught.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // it would end the process at a write to a log that nobody reads
	if err := run(hangup); err != nil {
		fmt.Fprintln(os.Stderr, "edgenode:", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, and reloads the configuration at each signal on hangup.
func run(hangup <-chan os.Signal) error {
	logOutput := asyncwriter.New(os.Stderr, maxPendingLogLines)
	defer logOutput.Close(logFlushTimeout)
	log := slog.New(slog.NewTextHandler(logOutput, nil))
	path := os.Getenv(config.FileVariable)
	cfg, limits, err := loadWithRetries(path)
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

// loadWithRetries is load, repeated while the file can't be read, because that may pass.
func loadWithRetries(path string) (edge.Config, config.ProcessLimits, error) {
	cfg, limits, err := load(path)
	for retry := 0; retry < maxLoadRetries && isReadError(err); retry++ {
		time.Sleep(loadRetryDelay)
		cfg, limits, err = load(path)
	}
	return cfg, limits, err
}

// isReadError reports whether a file could not be read, as opposed to one with invalid content.
func isReadError(err error) bool {
	var pathError *fs.PathError
	return errors.As(err, &pathError)
}

// load reads the configuration file and returns the configuration of the node and the limits of
// the process.
func load(path string) (edge.Config, config.ProcessLimits, error) {
	file, err := config.Load(path)
	if err != nil {
		return edge.Config{}, config.ProcessLimits{}, err
	}
	var cachedList discovery.List
	if len(file.CachedList) > 0 {
		if err := json.Unmarshal(file.CachedList, &cachedList); err != nil {
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
		Cores:            file.ProcessLimits.Cores,
		CachedList:       cachedList,
		Settings:         file.Settings,
	}, file.ProcessLimits, nil
}

// addressUpdater receives the addresses of a reloaded configuration; implemented by [edge.Node].
type addressUpdater interface {
	ChangeAddresses(discovery, counter string)
}

// reload reads the configuration file again at each signal until the channel is closed. An
// invalid file is logged and changes nothing.
func reload(hangup <-chan os.Signal, path string, node addressUpdater, log *slog.Logger) {
	for range hangup {
		cfg, _, err := loadWithRetries(path)
		if err != nil {
			log.Error("configuration not reloaded", "err", err)
			continue
		}
		node.ChangeAddresses(cfg.DiscoveryAddress, cfg.CounterAddress)
		log.Info("configuration reloaded", "discovery", cfg.DiscoveryAddress, "counter", cfg.CounterAddress)
	}
}

// memoryLimitFraction is the fraction of the process's memory limit that is set as the soft
// memory limit of the Go runtime. Memory use above half of the process's limit adds to the cost
// of the node. The runtime's limit covers the memory that the runtime manages, such as the heap
// and the goroutine stacks; memory that the kernel holds for the process comes on top of it.
const memoryLimitFraction = 0.4

// applyRuntimeLimits sets the limits of the Go runtime from the limits of the process. The
// garbage collector keeps its default pace: with less frequent collections the process would
// grow throughout a long run, and growth also adds to the cost.
func applyRuntimeLimits(limits config.ProcessLimits) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(limits.Cores)))
	}
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(limits.MemoryBytes())))
	}
}
