package servermodel

import (
	"sync"
	"time"

	"cobaltward/emulator/model"
)

// Group is the table of idempotency keys that several servers share. It is safe for concurrent use.
type Group struct {
	mu        sync.Mutex
	keys      model.KeyTable
	startedAt time.Time
}

// NewGroup returns a group whose servers discard requests with a key that was first seen within the window.
func NewGroup(window time.Duration) *Group {
	return &Group{keys: model.KeyTable{Window: window}, startedAt: time.Now()}
}

// IsDuplicate reports whether the key was seen within the window. The clocks of the servers start at different times,
// so the group ignores the time that is passed and uses its own clock.
func (g *Group) IsDuplicate(key string, _ time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keys.IsDuplicate(key, time.Since(g.startedAt))
}
