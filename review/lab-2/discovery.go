package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is one booking server in the form of discovery.
type instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMS int64   `json:"startedAtMs"`
}

// list is an answer of discovery.
type list struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery is the stand-in for discovery. It holds the list of booking servers and answers calls
// at any number of addresses, which may be closed one by one.
type discovery struct {
	lab *lab

	mu         sync.Mutex
	list       list
	changedAt  map[string]int64     // generation of the last change of each instance
	answeredAt map[string]time.Time // last answer on each connection, by its remote address
	changed    chan struct{}        // closed at the next change
	delay      time.Duration        // every answer is written this much later
	capacity   *turnAway            // nil: no call is turned away
}

// watchGap: a watch carries on as long as the next call comes within 200 ms of the last answer.
const watchGap = 200 * time.Millisecond

// turnAway lets a number of calls a second through. Calls that carry a watch on are not counted.
type turnAway struct {
	interval time.Duration
	until    time.Time
	next     time.Time
}

// allows reports whether a call is answered now. answeredAt is when the last answer on its
// connection was written.
func (c *turnAway) allows(now, answeredAt time.Time) bool {
	if now.After(c.until) || now.Sub(answeredAt) <= watchGap {
		return true
	}
	if now.Before(c.next) {
		return false
	}
	c.next = now.Add(c.interval)
	return true
}

func newDiscovery(l *lab, instances []instance) *discovery {
	d := &discovery{lab: l, list: list{Generation: 41, Reset: true, Instances: instances},
		changedAt: map[string]int64{}, answeredAt: map[string]time.Time{}, changed: make(chan struct{})}
	for _, entry := range instances {
		d.changedAt[entry.ID] = 41
	}
	return d
}

// address is an address at which a service answers.
type address struct {
	listener net.Listener
	server   *http.Server
}

// openAddress serves a handler at a new loopback address.
func openAddress(handler http.Handler) (*address, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &address{listener: listener, server: &http.Server{Handler: handler}}
	go a.server.Serve(listener)
	return a, nil
}

func (a *address) String() string { return a.listener.Addr().String() }

// leave takes no new connection from now on and closes the open ones after a while.
func (a *address) leave(after time.Duration) {
	a.listener.Close()
	time.AfterFunc(after, func() { a.server.Close() })
}

// setLifecycle changes the state of an instance and notifies the watches.
func (d *discovery) setLifecycle(id, lifecycle string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Generation++
	for i := range d.list.Instances {
		if d.list.Instances[i].ID == id {
			d.list.Instances[i].Lifecycle = lifecycle
			d.changedAt[id] = d.list.Generation
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// setDelay makes every answer from now on come later.
func (d *discovery) setDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// crowd makes discovery answer only so many calls a second for a while and turn the others away.
func (d *discovery) crowd(callsPerSecond float64, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = &turnAway{interval: time.Duration(float64(time.Second) / callsPerSecond), until: time.Now().Add(duration)}
}

// since returns the answer to a call that knows a generation, and the channel that is closed at
// the next change.
func (d *discovery) since(index int64, fullList bool) (answer list, changed <-chan struct{}, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	answer = list{Generation: d.list.Generation, Reset: fullList, Instances: []instance{}}
	for _, entry := range d.list.Instances {
		if fullList || d.changedAt[entry.ID] > index {
			answer.Instances = append(answer.Instances, entry)
		}
	}
	return answer, d.changed, d.delay
}

// ServeHTTP answers one call.
func (d *discovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	index, err := strconv.ParseInt(query.Get("index"), 10, 64)
	fullList := err != nil
	wait, _ := strconv.Atoi(query.Get("wait"))
	d.mu.Lock()
	turnedAway := d.capacity != nil && !d.capacity.allows(time.Now(), d.answeredAt[req.RemoteAddr])
	d.mu.Unlock()
	if turnedAway {
		d.lab.record("discovery turns away a call %s from %s", req.URL.RawQuery, req.RemoteAddr)
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	answer, changed, delay := d.since(index, fullList)
	if !fullList && len(answer.Instances) == 0 && wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-req.Context().Done():
			return
		}
		answer, _, delay = d.since(index, false)
	}
	select {
	case <-time.After(delay):
	case <-req.Context().Done():
		if len(answer.Instances) > 0 {
			d.lab.record("discovery: a call %q was given up before its answer with %d entries", req.URL.RawQuery, len(answer.Instances))
		}
		return
	}
	d.mu.Lock()
	d.answeredAt[req.RemoteAddr] = time.Now()
	d.mu.Unlock()
	text, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
	if len(answer.Instances) > 0 {
		d.lab.record("discovery tells generation %d, %d entries, to %s", answer.Generation, len(answer.Instances), req.RemoteAddr)
	}
}
