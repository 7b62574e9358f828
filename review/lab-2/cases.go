package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// The limits of the pages.
const (
	// toldAfter: a change counts as told at the latest 6 s after discovery had it and could be
	// reached.
	toldAfter = 6 * time.Second
	// ruleSlack: each time limit is made 50 ms longer on sockets.
	ruleSlack = 50 * time.Millisecond
	// oldAddressesClose: the old addresses close their open connections after 1.5 s.
	oldAddressesClose = 1500 * time.Millisecond
)

// fleet is a running deployment.
type fleet struct {
	lab         *lab
	deployment  *deployment
	servers     []*bookingServer
	discovery   *discovery
	counter     *counter
	discoveryAt *address
	counterAt   *address
	nodes       []*node
	counts      *outcomeCounts
}

// startFleet starts the stand-ins and the edge nodes.
func (l *lab) startFleet(d *deployment, servers int, work time.Duration) (*fleet, error) {
	f := &fleet{lab: l, deployment: d, counts: newOutcomeCounts(), counter: newCounter()}
	var instances []instance
	var err error
	if f.servers, instances, err = startBookingServers(servers, work); err != nil {
		return nil, err
	}
	d.known = list{Generation: 41, Reset: true, Instances: append([]instance(nil), instances...)}
	f.discovery = newDiscovery(l, instances)
	if f.discoveryAt, f.counterAt, err = f.openAddresses(); err != nil {
		return nil, err
	}
	d.discoveryAddr = f.discoveryAt.String()
	d.counterAddr = f.counterAt.String()
	if f.nodes, err = l.startNodes(d); err != nil {
		return nil, err
	}
	return f, nil
}

// openAddresses opens new addresses of discovery and the counter.
func (f *fleet) openAddresses() (discoveryAt, counterAt *address, err error) {
	if discoveryAt, err = openAddress(f.discovery); err != nil {
		return nil, nil, err
	}
	if counterAt, err = openAddress(f.counter); err != nil {
		return nil, nil, err
	}
	return discoveryAt, counterAt, nil
}

// newConfiguration moves discovery and the counter to new addresses and tells all nodes by SIGHUP.
func (f *fleet) newConfiguration() error {
	oldDiscovery, oldCounter := f.discoveryAt, f.counterAt
	var err error
	if f.discoveryAt, f.counterAt, err = f.openAddresses(); err != nil {
		return err
	}
	for _, n := range f.nodes {
		if err := n.reload(f.discoveryAt.String(), f.counterAt.String()); err != nil {
			return err
		}
	}
	f.lab.record("new configuration and SIGHUP at %d edge nodes: discovery %s", len(f.nodes), f.discoveryAt)
	oldDiscovery.leave(oldAddressesClose)
	oldCounter.leave(oldAddressesClose)
	return nil
}

// judgeDrain checks that no node sends anything to a server later than the drain grace after it
// was told that the server drains.
func (f *fleet) judgeDrain(server *bookingServer, changedAt, end time.Time) int {
	told := changedAt.Add(toldAfter)
	limit := told.Add(f.deployment.drainGrace + ruleSlack)
	f.lab.recordAt(changedAt, "%s drains from here on, discovery has it and can be reached", server.id)
	f.lab.recordAt(told, "told at the latest")
	f.lab.recordAt(limit, "limit: told + grace %v + %v; no send may come later", f.deployment.drainGrace, ruleSlack)
	before := server.sendsBetween(changedAt.Add(-4*time.Second), changedAt)
	within := server.sendsBetween(changedAt, limit)
	late := server.sendsBetween(limit, end)
	byNode := map[string]int{}
	for _, one := range late {
		f.counts.mu.Lock()
		name := f.counts.nodeByID[one.id]
		f.counts.mu.Unlock()
		byNode[name]++
		f.lab.recordAt(one.at, "late send to %s: request %s through %s, %.3f s after the change", server.id, one.id, name, one.at.Sub(changedAt).Seconds())
	}
	f.lab.record("clients: %s", f.counts.summary())
	f.lab.record("sends to %s: %d in the 4 s before the change, %d up to the limit, %d after it, by node %v",
		server.id, len(before), len(within), len(late), byNode)
	if len(before) == 0 {
		return f.lab.cannotRun("nothing was sent to %s before the change", server.id)
	}
	if len(late) > 0 {
		return ruleBroken
	}
	return ruleHeld
}

// playSlowDiscovery: discovery becomes slow, then a booking server begins to drain.
func playSlowDiscovery(l *lab) int {
	const slowAnswer = 3 * time.Second
	d := &deployment{nodes: 3, discoveryMode: "ask", drainGrace: 2 * time.Second, customerSpread: 2, customersPerNode: 4, connsPerNode: 8}
	f, err := l.startFleet(d, 6, 10*time.Millisecond)
	if err != nil {
		return l.cannotRun("%v", err)
	}
	stop := startClients(f.nodes, f.counts, 20)
	time.Sleep(8 * time.Second)
	if l.trouble {
		f.discovery.setDelay(slowAnswer)
		l.record("discovery becomes slow: every answer comes %v later", slowAnswer)
	}
	time.Sleep(5 * time.Second)
	changedAt := time.Now()
	f.discovery.setLifecycle("s-0", "DRAINING")
	time.Sleep(20 * time.Second)
	end := time.Now()
	stop()
	return f.judgeDrain(f.servers[0], changedAt, end)
}

// playNewAddresses: a booking server begins to drain while new configurations follow each other.
func playNewAddresses(l *lab) int {
	const configurations = 6
	const between = 1500 * time.Millisecond
	d := &deployment{nodes: 100, discoveryMode: "ask", drainGrace: 2 * time.Second, customerSpread: 2, customersPerNode: 4, connsPerNode: 8}
	f, err := l.startFleet(d, 6, 5*time.Millisecond)
	if err != nil {
		return l.cannotRun("%v", err)
	}
	stop := startClients(f.nodes, f.counts, 12)
	time.Sleep(8 * time.Second)
	if l.trouble {
		if err := f.newConfiguration(); err != nil {
			return l.cannotRun("%v", err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	changedAt := time.Now()
	f.discovery.setLifecycle("s-0", "DRAINING")
	for i := 1; i < configurations; i++ {
		time.Sleep(time.Until(changedAt.Add(time.Duration(i)*between - 100*time.Millisecond)))
		if l.trouble {
			if err := f.newConfiguration(); err != nil {
				return l.cannotRun("%v", err)
			}
		}
	}
	time.Sleep(time.Until(changedAt.Add(13 * time.Second)))
	end := time.Now()
	stop()
	return f.judgeDrain(f.servers[0], changedAt, end)
}

// playCrowdedDiscovery: a new configuration moves discovery, and a booking server begins to drain
// while discovery turns some of the calls away.
func playCrowdedDiscovery(l *lab) int {
	const callsPerSecond = 15
	d := &deployment{nodes: 100, discoveryMode: "ask", drainGrace: 250 * time.Millisecond, customerSpread: 2, customersPerNode: 4, connsPerNode: 8}
	f, err := l.startFleet(d, 4, 5*time.Millisecond)
	if err != nil {
		return l.cannotRun("%v", err)
	}
	stop := startClients(f.nodes, f.counts, 20)
	time.Sleep(8 * time.Second)
	if l.trouble {
		f.discovery.crowd(callsPerSecond, 4*time.Second)
		l.record("discovery answers %d calls a second for 4 s, without those that carry a watch on, and turns the others away", callsPerSecond)
		if err := f.newConfiguration(); err != nil {
			return l.cannotRun("%v", err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	changedAt := time.Now()
	f.discovery.setLifecycle("s-0", "DRAINING")
	time.Sleep(12 * time.Second)
	end := time.Now()
	stop()
	return f.judgeDrain(f.servers[0], changedAt, end)
}

// spoiler makes every spoilEvery-th answer of a booking server one whose lengths don't fit.
type spoiler struct {
	lab     *lab
	answers atomic.Int64
	spoilt  atomic.Int64
}

const spoilEvery = 10

// answerText returns good answers, and in turn one with a Content-Length that is too short and one
// with a chunk that is shorter than its Content-Length says. Each is written at once, and the
// connection is of no further use after it.
func (s *spoiler) answerText(req *http.Request, body string) (text string, usable bool) {
	if s.answers.Add(1)%spoilEvery != 0 {
		return goodAnswer(req, body)
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	id, half := req.Header.Get("X-Trace-Id"), len(body)/2
	if s.spoilt.Add(1)%2 == 0 {
		s.lab.record("s-0 spoils its answer to %s: Content-Length %d, one chunk of %d", id, len(body), half)
		return fmt.Sprintf("%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), half, body[:half]), false
	}
	s.lab.record("s-0 spoils its answer to %s: Content-Length %d, %d bytes of body", id, half, len(body))
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, half, body), false
}

// playShortLength: one booking server sends some answers whose lengths don't fit.
func playShortLength(l *lab) int {
	d := &deployment{nodes: 1, discoveryMode: "push", drainGrace: 2 * time.Second, customerSpread: 1, customersPerNode: 4, connsPerNode: 8}
	f, err := l.startFleet(d, 3, 10*time.Millisecond)
	if err != nil {
		return l.cannotRun("%v", err)
	}
	spoiler := &spoiler{lab: l}
	if l.trouble {
		f.servers[0].setAnswerText(spoiler.answerText)
	}
	stop := startClients(f.nodes, f.counts, 30)
	time.Sleep(20 * time.Second)
	stop()
	for _, wrong := range f.counts.wrong {
		l.record("wrong answer: %s", wrong)
	}
	l.record("clients: %s; spoilt answers of s-0: %d", f.counts.summary(), spoiler.spoilt.Load())
	switch {
	case len(f.counts.wrong) > 0:
		return ruleBroken
	case l.trouble && spoiler.spoilt.Load() == 0:
		return l.cannotRun("no answer was spoilt")
	case f.counts.byStatus[http.StatusOK] == 0:
		return l.cannotRun("no request was served")
	}
	return ruleHeld
}
