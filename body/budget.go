// Package body holds the bodies of requests on their way through a node: in pieces, within one budget in bytes, and
// passed on as they come where the budget has no room.
package body

import (
	"sync"
	"sync/atomic"
)

// ChunkSize is the unit in which bodies are held.
const ChunkSize = 32 << 10

// Budget is the bytes that may be held at once, by all bodies together. It is taken and given back in pieces.
type Budget struct {
	limit atomic.Int64
	used atomic.Int64
	pool sync.Pool // of *[Piece]byte
}

// NewBudget returns a budget of so many bytes, of one piece at least.
func NewBudget(most int64) *Budget {
	b := new(Budget)
	b.SetLimit(most)
	b.pool.New = func() any { return new([ChunkSize]byte) }
	return b
}

// SetLimit changes the bytes that may be held. What is held beyond them stays until it is given back.
func (b *Budget) SetLimit(most int64) { b.limit.Store(max(ChunkSize, most)) }

// Limit is the bytes that may be held.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// acquireChunk returns a piece to hold, or nil where there is no room.
func (b *Budget) acquireChunk() *[ChunkSize]byte {
	if b.used.Add(ChunkSize) > b.limit.Load() {
		b.used.Add(-ChunkSize)
		return nil
	}
	return b.pool.Get().(*[ChunkSize]byte)
}

func (b *Budget) releaseChunk(p *[ChunkSize]byte) {
	b.pool.Put(p)
	b.used.Add(-ChunkSize)
}

// Used is the bytes that are held now.
func (b *Budget) Used() int64 { return b.used.Load() }
