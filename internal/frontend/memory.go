package frontend

import "sync/atomic"

// MemoryBudget is the memory, in bytes, that all request bodies and read-ahead buffers
// together may still take. Its methods may be called from any goroutine.
type MemoryBudget struct{ free atomic.Int64 }

// NewMemoryBudget returns a budget of which nothing is taken.
func NewMemoryBudget(bytes int64) *MemoryBudget {
	budget := &MemoryBudget{}
	budget.free.Store(bytes)
	return budget
}

// Reserve takes memory and reports true, or takes nothing if less than that is free.
func (b *MemoryBudget) Reserve(bytes int64) bool {
	if b.free.Add(-bytes) < 0 {
		b.free.Add(bytes)
		return false
	}
	return true
}

// Release gives back memory that Reserve has taken.
func (b *MemoryBudget) Release(bytes int64) { b.free.Add(bytes) }

// Free returns how much memory is not taken.
func (b *MemoryBudget) Free() int64 { return b.free.Load() }
