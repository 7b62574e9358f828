package frontend

import "sync/atomic"

// MemoryBudget limits the memory, in bytes, that all request bodies and read-ahead buffers
// take together. Its methods may be called from any goroutine.
type MemoryBudget struct{ free atomic.Int64 }

// NewMemoryBudget returns a budget of the given size with nothing reserved.
func NewMemoryBudget(bytes int64) *MemoryBudget {
	budget := &MemoryBudget{}
	budget.free.Store(bytes)
	return budget
}

// Reserve reserves memory and returns true. If less than that is free, it reserves nothing
// and returns false.
func (b *MemoryBudget) Reserve(bytes int64) bool {
	if b.free.Add(-bytes) < 0 {
		b.free.Add(bytes)
		return false
	}
	return true
}

// Release returns reserved memory to the budget.
func (b *MemoryBudget) Release(bytes int64) { b.free.Add(bytes) }

// Free returns the number of bytes that are not reserved.
func (b *MemoryBudget) Free() int64 { return b.free.Load() }
