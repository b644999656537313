package fleet

import "time"

// Lease is the exclusive, time-limited right of one process to act on a resource of the fleet.
type Lease struct {
	Resource     string       `json:"work"`
	Holder       string       `json:"holder"` // see Entry.Holder
	FencingToken FencingToken `json:"token"`
	// Duration is the time for which the holder may act, counted from the request of the newest renewal.
	Duration time.Duration `json:"lease"`
	Renewals uint64        `json:"renewals"`
	// StepDownRequestedBy is the requester and the reason of a request that the holder step down; empty: none.
	StepDownRequestedBy string `json:"asked,omitempty"`
	// RevokedBy is the operator who revoked the lease, and the reason; empty: not revoked. A revoked lease cannot be
	// renewed, so it expires.
	RevokedBy string   `json:"pushed,omitempty"`
	GrantedAt Position `json:"since"`
}

// holdsLease reports whether token is the fencing token of the current lease of resource.
func (s *State) holdsLease(resource string, token FencingToken) bool {
	current, ok := s.Leases[resource]
	return ok && current.FencingToken == token
}

// leaseForEntry returns the lease that an entry concerns. It returns ErrLeaseLost if the entry does not have the
// fencing token of the lease.
func (s *State) leaseForEntry(entry Entry) (Lease, error) {
	current, ok := s.Leases[entry.Resource]
	if !ok || entry.FencingToken != current.FencingToken {
		return Lease{}, ErrLeaseLost
	}
	return current, nil
}

// leaseForOperator is like leaseForEntry, but accepts entries without a token, because operators may not know the
// token.
func (s *State) leaseForOperator(entry Entry) (Lease, error) {
	if entry.FencingToken == 0 {
		entry.FencingToken = s.Leases[entry.Resource].FencingToken
	}
	return s.leaseForEntry(entry)
}

func (s *State) applyGrantLease(entry Entry) (FencingToken, error) {
	current, held := s.Leases[entry.Resource]
	_, known := s.HighestTokens[entry.Resource]
	switch {
	case entry.Resource == "" || entry.Holder == "" || entry.LeaseDuration <= 0:
		return 0, ErrInvalidEntry
	case held && current.Holder != entry.Holder:
		return 0, ErrConflict
	case held && current.RevokedBy != "":
		return 0, ErrLeaseLost
	case !known && len(s.HighestTokens) >= maxResources:
		return 0, ErrLimitExceeded
	}
	token := NewFencingToken(s.Epoch, s.Position)
	s.Leases = withKey(s.Leases, entry.Resource, Lease{
		Resource:     entry.Resource,
		Holder:       entry.Holder,
		FencingToken: token,
		Duration:     entry.LeaseDuration,
		GrantedAt:    s.Position,
	})
	s.HighestTokens = withKey(s.HighestTokens, entry.Resource, token)
	return token, nil
}

func (s *State) applyRenewLease(entry Entry) (FencingToken, error) {
	current, err := s.leaseForEntry(entry)
	if err != nil {
		return 0, err
	}
	if current.RevokedBy != "" {
		return 0, ErrLeaseLost
	}
	current.Renewals++
	s.Leases = withKey(s.Leases, entry.Resource, current)
	return current.FencingToken, nil
}

func (s *State) applyExpireLease(entry Entry) (FencingToken, error) {
	current, err := s.leaseForEntry(entry)
	if err != nil {
		return 0, err
	}
	if entry.Argument != current.Renewals {
		return 0, ErrConflict // the lease was renewed after the proposer last saw a renewal
	}
	s.Leases = withoutKey(s.Leases, entry.Resource)
	return current.FencingToken, nil
}

func (s *State) applyReleaseLease(entry Entry) (FencingToken, error) {
	current, err := s.leaseForEntry(entry)
	if err != nil {
		return 0, err
	}
	s.Leases = withoutKey(s.Leases, entry.Resource)
	return current.FencingToken, nil
}

func (s *State) applyRequestStepDown(entry Entry) (FencingToken, error) {
	current, err := s.leaseForOperator(entry)
	if err != nil {
		return 0, err
	}
	current.StepDownRequestedBy = entry.RequestedBy + ": " + entry.Reason
	s.Leases = withKey(s.Leases, entry.Resource, current)
	return current.FencingToken, nil
}

func (s *State) applyRevokeLease(entry Entry) (FencingToken, error) {
	current, err := s.leaseForOperator(entry)
	if err != nil {
		return 0, err
	}
	current.RevokedBy = entry.RequestedBy + ": " + entry.Reason
	s.Leases = withKey(s.Leases, entry.Resource, current)
	return current.FencingToken, nil
}
