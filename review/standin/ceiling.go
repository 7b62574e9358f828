package main

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	ceilingRounds     = 4                      // times that the counter loses names and edge nodes are killed
	calmDuration      = 18 * time.Second       // in which the customers use little of their quotas
	calmInterval      = 900 * time.Millisecond // between the requests of a customer in that time
	spikeDuration     = 2500 * time.Millisecond
	requestUnits      = 2                     // guessed for each request; the true number is 1 or 2
	spikeInterval     = 11 * time.Millisecond // between the requests of a customer in a spike: 182 units a second, 7.3 times the quota
	pressingCustomers = 2
	lossAt            = 500 * time.Millisecond // when the counter loses names, after a spike's start
	killAt            = 800 * time.Millisecond // when the edge nodes are killed
	restartAfter      = 200 * time.Millisecond // from the kill to the new process
	killedNodes       = 2                      // seven in ten of three, rounded down
	lostShare         = 0.95                   // of the counter's names

	planRate         = 25.0 // of the plan institutional
	planBurst        = 69.0
	ceilingRate      = 45.0 // 1.8 times the plan's rate and burst
	ceilingBurst     = 124.2
	ceilingTolerance = 12.42 // a tenth of the burst
	ceilingSlack     = ceilingTolerance + ceilingRate*0.15
)

// ceilingStore is a customer's store of the ceiling, as the pages define it.
type ceilingStore struct {
	units     float64 // left
	updatedAt time.Time
	lowest    float64 // that units was
}

// take draws the units of a request.
func (s *ceilingStore) take(now time.Time, units float64) {
	s.units = min(ceilingBurst, s.units+now.Sub(s.updatedAt).Seconds()*ceilingRate) - units
	s.updatedAt = now
	s.lowest = min(s.lowest, s.units)
}

// ceilingStores holds the stores and the requests that have drawn from them.
type ceilingStores struct {
	mu        sync.Mutex
	stores    []*ceilingStore
	customers map[string]int // by request id
	drawn     map[string]bool
}

// sent records to which customer a request belongs.
func (c *ceilingStores) sent(id string, customer int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.customers[id] = customer
}

// arrived draws the units of a request whose first attempt has come to a booking server.
func (c *ceilingStores) arrived(id string) (customer int, left float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	customer = c.customers[id]
	s := c.stores[customer]
	if !c.drawn[id] {
		c.drawn[id] = true
		s.take(time.Now(), requestUnits)
	}
	return customer, s.units
}

// ceilingAfterRestart has customers press against their ceiling. The disruption: the counter loses
// names, and edge nodes are killed and started again. The rule is broken if a customer's store of
// the ceiling goes lower than the slack allows.
func ceilingAfterRestart(f *fleet) (held bool, err error) {
	stores := &ceilingStores{customers: map[string]int{}, drawn: map[string]bool{}}
	for range pressingCustomers {
		stores.stores = append(stores.stores, &ceilingStore{units: ceilingBurst, updatedAt: time.Now(), lowest: ceilingBurst})
	}
	respond := func(conn net.Conn, x *execution) bool {
		customer, left := stores.arrived(x.id)
		f.record.printf("customer %d: %s takes its units, %.1f are left", customer, x.id, left)
		work(x.class)
		x.charge = strconv.Itoa(1 + rand.IntN(requestUnits))
		return writeWithLength(conn, x) == nil
	}
	f.editSettings = setCeiling
	if err := f.start(processLimits{Cores: 1, MemoryMB: 64, Sockets: 608}, respond); err != nil {
		return false, err
	}
	for round := range ceilingRounds {
		f.playCustomers(stores, calmDuration, calmInterval)
		if f.trouble {
			time.AfterFunc(lossAt, func() {
				f.record.printf("round %d: the counter loses %d of its names", round, f.counter.lose(lostShare))
			})
			time.AfterFunc(killAt, func() { f.restartNodes(killedNodes) })
		}
		f.playCustomers(stores, spikeDuration, spikeInterval)
		for i, s := range stores.stores {
			f.record.printf("round %d: the store of customer %d was at %.1f units at the lowest; allowed: %.1f", round, i, s.lowest, -ceilingSlack)
		}
		if err := f.allRunning(); err != nil {
			return false, err
		}
	}
	held = true
	for _, s := range stores.stores {
		held = held && s.lowest >= -ceilingSlack
	}
	return held, nil
}

// setCeiling sets the figures of the plan institutional.
func setCeiling(settings map[string]any) {
	plan := settings["tiersOfService"].([]any)[2].(map[string]any)
	maps.Copy(plan, map[string]any{"refill": planRate, "depth": planBurst, "neverOverRate": ceilingRate,
		"ceilingBurst": ceilingBurst, "tolerance": ceilingTolerance})
}

// playCustomers has each customer send requests for a time, each through any edge node of its set:
// the front has not noticed yet that some have been killed.
func (f *fleet) playCustomers(stores *ceilingStores, duration, interval time.Duration) {
	var clients sync.WaitGroup
	pools := f.connPools()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		<-ticker.C
		for customer := range pressingCustomers {
			n := f.nodes[rand.IntN(gateways)]
			clients.Go(func() {
				id := newID()
				stores.sent(id, customer)
				got, err := pools[n.rank].send(timetableRead, id, customer, requestUnits)
				f.record.printf("customer %d: %s through edge node %d: %d, error %v", customer, id, n.rank, got.status, err)
			})
		}
	}
	clients.Wait()
}

// restartNodes kills the first edge nodes at once and starts them again.
func (f *fleet) restartNodes(count int) {
	for _, n := range f.nodes[:count] {
		n.cmd.Process.Kill()
	}
	f.record.printf("edge nodes 0 to %d are killed", count-1)
	time.Sleep(restartAfter)
	for _, n := range f.nodes[:count] {
		<-n.exited
		if err := n.start(f.root, f.dir); err != nil {
			f.record.printf("edge node %d: %v", n.rank, err)
			continue
		}
		f.record.printf("edge node %d is ready again", n.rank)
	}
}

// lose forgets a share of the names, chosen at random, and returns their number.
func (c *counter) lose(share float64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := slices.Collect(maps.Keys(c.numbers))
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	lost := int(share * float64(len(names)))
	for _, name := range names[:lost] {
		delete(c.numbers, name)
	}
	return lost
}
