// Package body buffers request bodies between a client and the servers that a request is sent to. All buffers share
// one memory budget. Once the budget is used up, bodies are passed on unbuffered as they arrive.
package body

import (
	"sync"
	"sync/atomic"
)

// ChunkSize is the size in bytes of the chunks that buffers are made of.
const ChunkSize = 32 << 10

// Budget limits the memory that the buffers of all bodies together may use. It counts whole chunks. Its methods are
// safe for concurrent use.
type Budget struct {
	limit atomic.Int64
	used  atomic.Int64
	pool  sync.Pool // unused chunks, as *[ChunkSize]byte
}

// NewBudget returns a budget of limit bytes, or of one chunk if limit is smaller.
func NewBudget(limit int64) *Budget {
	b := new(Budget)
	b.SetLimit(limit)
	b.pool.New = func() any { return new([ChunkSize]byte) }
	return b
}

// SetLimit sets the limit in bytes. The limit is at least one chunk. Chunks in use beyond the new limit stay in use
// until they are released.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(max(ChunkSize, limit)) }

// Limit returns the number of bytes that may be buffered.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Used returns the total size of the chunks in use, in bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reserve counts n bytes as used, and returns false if the budget does not allow that. Release must follow.
func (b *Budget) Reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit.Load() {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

// Release ends a Reserve of n bytes.
func (b *Budget) Release(n int) { b.used.Add(int64(-n)) }

// acquireChunk returns a chunk, or nil if the budget is used up.
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
