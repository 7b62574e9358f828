package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const maxLife = time.Minute

// counter is the stand-in for the counter. It loses nothing and answers at once.
type counter struct {
	mu      sync.Mutex
	numbers map[string]*number
}

type number struct {
	total float64
	until time.Time
}

func newCounter() *counter { return &counter{numbers: map[string]*number{}} }

// ServeHTTP answers one call.
func (c *counter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	name, ok := strings.CutPrefix(req.URL.Path, "/v2/numbers/")
	query := req.URL.Query()
	delta, err := strconv.ParseFloat(query.Get("delta"), 64)
	life, lifeErr := strconv.Atoi(query.Get("life_ms"))
	if !ok || name == "" || len(name) > 64 || err != nil || lifeErr != nil || life < 1 || req.Method != http.MethodPost {
		http.Error(w, "no such call", http.StatusBadRequest)
		return
	}
	now := time.Now()
	c.mu.Lock()
	entry := c.numbers[name]
	if entry == nil || now.After(entry.until) {
		entry = &number{until: now.Add(min(time.Duration(life)*time.Millisecond, maxLife))}
		c.numbers[name] = entry
	}
	entry.total += delta
	total := entry.total
	c.mu.Unlock()
	fmt.Fprintf(w, "%.7g", total)
}
