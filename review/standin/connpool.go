package main

import "sync"

// connPool keeps the clients' connections to one edge node.
type connPool struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
}

// connPools returns a pool for each edge node.
func (f *fleet) connPools() []*connPool {
	var pools []*connPool
	for _, n := range f.nodes {
		pools = append(pools, &connPool{address: n.address})
	}
	return pools
}

// send sends a request on an idle connection, or on a new one if all are busy.
func (p *connPool) send(class, id string, customer, units int) (answer, error) {
	conn := p.take()
	if conn == nil {
		var err error
		if conn, err = dialNode(p.address); err != nil {
			return answer{}, err
		}
	}
	got, err := conn.roundTrip(class, id, customer, units)
	if err != nil || !got.keep {
		conn.Close()
		return got, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, conn)
	return got, nil
}

// take returns an idle connection that is still open, or nil.
func (p *connPool) take() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if conn.isOpen() {
			return conn
		}
		conn.Close()
	}
	return nil
}
