package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// instance is one booking server in the form of discovery.
type instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// list is a list of booking servers in the form of discovery.
type list struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery is an edge node's agent of discovery. Its list does not change.
type discovery struct {
	listener net.Listener
	list     list
}

// startDiscovery starts an agent that knows the instances.
func startDiscovery(instances []instance) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: listener, list: list{Generation: 1, Reset: true, Instances: instances}}
	go http.Serve(listener, d)
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// ServeHTTP answers a call for the list at once, and a watch when its wait is over.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has("index") {
		json.NewEncoder(w).Encode(d.list)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
		json.NewEncoder(w).Encode(list{Generation: d.list.Generation, Instances: []instance{}})
	case <-r.Context().Done():
	}
}

// maxLife is the longest life of a number at the counter.
const maxLife = time.Minute

// counter is the counter service.
type counter struct {
	listener net.Listener
	mu       sync.Mutex
	numbers  map[string]*number
}

// number is one number of the counter.
type number struct {
	total   float64
	expires time.Time
}

// startCounter starts an empty counter service.
func startCounter() (*counter, error) {
	c := &counter{numbers: map[string]*number{}}
	var err error
	c.listener, err = serveConns(c.serve)
	return c, err
}

func (c *counter) address() string { return c.listener.Addr().String() }

// serve answers the calls on one connection in their order.
func (c *counter) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		total := strconv.FormatFloat(c.add(strings.TrimPrefix(req.URL.Path, "/v2/numbers/"), req.URL.Query()), 'f', 6, 64)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(total), total)
	}
}

// add adds the amount of a call to a number and returns the total.
func (c *counter) add(name string, query url.Values) float64 {
	delta, _ := strconv.ParseFloat(query.Get("delta"), 64)
	lifeMS, _ := strconv.Atoi(query.Get("life_ms"))
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	n := c.numbers[name]
	if n == nil || now.After(n.expires) {
		n = &number{expires: now.Add(min(time.Duration(lifeMS)*time.Millisecond, maxLife))}
		c.numbers[name] = n
	}
	n.total += delta
	return n.total
}
