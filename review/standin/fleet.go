package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	gateways       = 3 // edge nodes, as the brief has today
	bookingServers = 9 // booking servers, as the brief has today
)

// record is the file with what was sent, answered and run. Its methods may be called from any
// goroutine.
type record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

// printf adds a line with the time since the start of the run.
func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// fleet is what a case starts: edge nodes and everything that they talk to.
type fleet struct {
	root    string // of the project
	dir     string // temporary folder for configurations and logs
	record  *record
	trouble bool // the disruption takes place
	// editSettings changes the settings of the edge nodes; nil: not.
	editSettings func(map[string]any)
	counter      *counter
	servers      []*server
	agents       []*discovery
	nodes        []*node
}

// newFleet returns a fleet without servers and nodes.
func newFleet(root, recordPath string, trouble bool) (*fleet, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: &record{file: file, startedAt: time.Now()}, trouble: trouble}
	f.record.printf("trouble: %v", trouble)
	return f, nil
}

// start starts the counter, the booking servers, one agent of discovery for each edge node, and
// the edge nodes.
func (f *fleet) start(limits processLimits, respond responder) error {
	var err error
	if f.counter, err = startCounter(); err != nil {
		return err
	}
	var instances []instance
	for i := range bookingServers {
		s, err := startServer(fmt.Sprintf("s-%d", i), f.record, respond)
		if err != nil {
			return err
		}
		f.servers = append(f.servers, s)
		instances = append(instances, s.entry(zones[i%len(zones)]))
	}
	for rank := range gateways {
		agent, err := startDiscovery(instances)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, agent)
		n := &node{rank: rank, address: freeAddress(), discovery: agent.address(), counter: f.counter.address(),
			known: instances, limits: limits, settings: settings(rank)}
		if f.editSettings != nil {
			f.editSettings(n.settings)
		}
		if err := n.start(f.root, f.dir); err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		f.record.printf("edge node %d is ready at %s, process %d", rank, n.address, n.cmd.Process.Pid)
	}
	http.DefaultClient.CloseIdleConnections()
	return nil
}

// allRunning returns an error if an edge node has ended.
func (f *fleet) allRunning() error {
	for _, n := range f.nodes {
		if !n.running() {
			return fmt.Errorf("edge node %d has ended", n.rank)
		}
	}
	return nil
}

// close ends the edge nodes and removes the temporary folder.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.kill()
	}
	os.RemoveAll(f.dir)
	f.record.file.Close()
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// serveConns listens on a free loopback address and serves each connection in a goroutine.
func serveConns(serve func(net.Conn)) (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener, nil
}
