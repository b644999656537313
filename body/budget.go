// Package body buffers the bodies of requests on their way through a node. All buffers share one budget of memory;
// where the budget is used up, bodies are passed on as they arrive.
package body

import (
	"sync"
	"sync/atomic"
)

// ChunkSize is the unit of buffers, in bytes.
const ChunkSize = 32 << 10

// Budget bounds the bytes that all bodies together may buffer, in chunks. Its methods are safe for concurrent use.
type Budget struct {
	limit atomic.Int64
	used  atomic.Int64
	pool  sync.Pool // of *[ChunkSize]byte
}

// NewBudget returns a budget of limit bytes, and of one chunk at least.
func NewBudget(limit int64) *Budget {
	b := new(Budget)
	b.SetLimit(limit)
	b.pool.New = func() any { return new([ChunkSize]byte) }
	return b
}

// SetLimit changes the limit to a number of bytes, and to one chunk at least. Chunks in use beyond it stay in use until
// they are released.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(max(ChunkSize, limit)) }

// Limit returns the bytes that may be buffered.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Used returns the bytes that are buffered now.
func (b *Budget) Used() int64 { return b.used.Load() }

// acquireChunk returns a chunk, or nil where the budget is used up.
func (b *Budget) acquireChunk() *[ChunkSize]byte {
	if b.used.Add(ChunkSize) > b.limit.Load() {
		b.used.Add(-ChunkSize)
		return nil
	}
	return b.pool.Get().(*[ChunkSize]byte)
}

func (b *Budget) releaseChunk(chunk *[ChunkSize]byte) {
	b.pool.Put(chunk)
	b.used.Add(-ChunkSize)
}
