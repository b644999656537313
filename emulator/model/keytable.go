package model

import "time"

// Deduplicator decides which requests are duplicates within a group of servers. KeyTable implements Deduplicator for
// one group; servers may also share another implementation.
type Deduplicator interface {
	// IsDuplicate reports whether the key was seen within the window. It records a key that was not seen.
	IsDuplicate(key string, now time.Duration) bool
}

// KeyTable holds the idempotency keys of a group of servers. It isn't safe for concurrent use.
type KeyTable struct {
	Window    time.Duration // time for which a key is remembered
	firstSeen map[string]time.Duration
	order     []string // keys, oldest first
}

// IsDuplicate reports whether the key was seen within the window. It records a key that was not seen.
func (k *KeyTable) IsDuplicate(key string, now time.Duration) bool {
	if k.firstSeen == nil {
		k.firstSeen = make(map[string]time.Duration)
	}
	for len(k.order) > 0 && now-k.firstSeen[k.order[0]] >= k.Window {
		delete(k.firstSeen, k.order[0])
		k.order = k.order[1:]
	}
	if _, ok := k.firstSeen[key]; ok {
		return true
	}
	k.firstSeen[key] = now
	k.order = append(k.order, key)
	return false
}
