// Package body holds the bodies of requests on their way through a node: in pieces, within one budget in bytes, and
// passed on as they come where the budget has no room.
package body

import (
	"sync"
	"sync/atomic"
)

// Piece is the unit in which bodies are held.
const Piece = 32 << 10

// Budget is the bytes that may be held at once, by all bodies together. It is taken and given back in pieces.
type Budget struct {
	most atomic.Int64
	used atomic.Int64
	free sync.Pool // of *[Piece]byte
}

// NewBudget returns a budget of so many bytes, of one piece at least.
func NewBudget(most int64) *Budget {
	b := new(Budget)
	b.SetMost(most)
	b.free.New = func() any { return new([Piece]byte) }
	return b
}

// SetMost changes the bytes that may be held. What is held beyond them stays until it is given back.
func (b *Budget) SetMost(most int64) { b.most.Store(max(Piece, most)) }

// Most is the bytes that may be held.
func (b *Budget) Most() int64 { return b.most.Load() }

// take returns a piece to hold, or nil where there is no room.
func (b *Budget) take() *[Piece]byte {
	if b.used.Add(Piece) > b.most.Load() {
		b.used.Add(-Piece)
		return nil
	}
	return b.free.Get().(*[Piece]byte)
}

func (b *Budget) give(p *[Piece]byte) {
	b.free.Put(p)
	b.used.Add(-Piece)
}

// Used is the bytes that are held now.
func (b *Budget) Used() int64 { return b.used.Load() }
