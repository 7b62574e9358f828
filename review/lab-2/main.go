// Command lab plays one case of the review: it starts edge nodes as separate processes, plays
// discovery, the counter, the booking servers and the clients on loopback addresses, and checks one
// rule.
//
// Usage: lab CASE ROOT RECORD. ROOT is the project's root, RECORD the file for the record. With
// TROUBLE=0 in the environment the case runs without its disruption. The exit status is 0 if the
// rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit statuses.
const (
	ruleHeld     = 0
	ruleBroken   = 1
	couldNotRun  = 2
	maxCaseTime  = 110 * time.Second
	troubleOff   = "0"
	wantedInArgs = 4
)

// caseByName holds the function that plays each case and returns the exit status.
var caseByName = map[string]func(*lab) int{
	"slow-discovery":    playSlowDiscovery,
	"new-addresses":     playNewAddresses,
	"crowded-discovery": playCrowdedDiscovery,
	"short-length":      playShortLength,
	"second-copy":       playSecondCopy,
}

func main() {
	if len(os.Args) != wantedInArgs || caseByName[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE ROOT RECORD")
		os.Exit(couldNotRun)
	}
	l, err := newLab(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(couldNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	status := make(chan int, 1)
	go func() { status <- caseByName[os.Args[1]](l) }()
	result := couldNotRun
	select {
	case result = <-status:
	case <-signals:
		l.record("stopped by a signal")
	case <-time.After(maxCaseTime):
		l.record("the case took too long")
	}
	l.record("exit status %d", result)
	l.close()
	os.Exit(result)
}

// lab holds what the parts of a case share.
type lab struct {
	root    string // of the project
	dir     string // temporary folder
	trouble bool   // the disruption takes place
	began   time.Time

	addresses map[string]bool // given to edge nodes

	mu     sync.Mutex
	file   *os.File
	nodes  []*node
	closed bool
}

func newLab(root, recordPath string) (*lab, error) {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	l := &lab{root: root, dir: dir, file: file, began: time.Now(), trouble: os.Getenv("TROUBLE") != troubleOff,
		addresses: map[string]bool{}}
	l.record("trouble: %v", l.trouble)
	return l, nil
}

// record writes one line, which begins with the seconds since the start of the case.
func (l *lab) record(format string, values ...any) {
	l.recordAt(time.Now(), format, values...)
}

// recordAt is record for an event in the past.
func (l *lab) recordAt(at time.Time, format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		fmt.Fprintf(l.file, "%9.3f  %s\n", at.Sub(l.began).Seconds(), fmt.Sprintf(format, values...))
	}
}

// cannotRun records why the case can't run and returns its exit status.
func (l *lab) cannotRun(format string, values ...any) int {
	l.record("cannot run: "+format, values...)
	return couldNotRun
}

// close ends the edge nodes and removes the temporary folder.
func (l *lab) close() {
	for _, n := range l.nodes {
		n.kill()
	}
	os.RemoveAll(l.dir)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.file.Close()
}
