package servermodel

import (
	"sync"
	"time"

	"cobaltward/emulator/model"
)

// Group is a table of idempotency keys shared by several servers. It is safe for concurrent use.
type Group struct {
	mu        sync.Mutex
	keys      model.KeyTable
	startedAt time.Time
}

// NewGroup returns a group. Its servers discard a request if the request's key was first seen within the window.
func NewGroup(window time.Duration) *Group {
	return &Group{keys: model.KeyTable{Window: window}, startedAt: time.Now()}
}

// IsDuplicate reports whether the key was seen within the window. The group ignores the given time and uses its own
// clock, because the clocks of the servers start at different times.
func (g *Group) IsDuplicate(key string, _ time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keys.IsDuplicate(key, time.Since(g.startedAt))
}
