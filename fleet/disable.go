package fleet

import "time"

// DisableOrder takes servers out of use at all nodes until a given time.
type DisableOrder struct {
	ID      string   `json:"id"`
	Servers []string `json:"servers,omitempty"`
	// Zones are the zones whose servers are also disabled. Each node looks up the zone of a server in its own endpoint
	// list.
	Zones []string `json:"zones,omitempty"`
	// Until is the time at which the disable order ends. Each process compares Until with its own wall clock.
	Until       time.Time `json:"until"`
	RequestedBy string    `json:"who,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	Position    Position  `json:"at"` // position of the entry that created the disable order
}

func (s *State) applyDisableServers(entry Entry) error {
	order := entry.DisableOrder
	switch {
	case order == nil || order.ID == "" || len(order.Servers)+len(order.Zones) == 0 || order.Until.IsZero():
		return ErrInvalidEntry
	case len(s.DisableOrders) >= maxDisableOrders:
		return ErrLimitExceeded
	case s.DisableOrders[order.ID] != nil:
		return ErrAlreadyExists
	}
	order.Position, order.RequestedBy, order.Reason = s.Position, entry.RequestedBy, entry.Reason
	s.DisableOrders = withKey(s.DisableOrders, order.ID, order)
	return nil
}

func (s *State) applyEnableServers(entry Entry) error {
	if entry.DisableOrder == nil || s.DisableOrders[entry.DisableOrder.ID] == nil {
		return ErrNotFound
	}
	s.DisableOrders = withoutKey(s.DisableOrders, entry.DisableOrder.ID)
	return nil
}
