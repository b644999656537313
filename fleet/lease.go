package fleet

import "time"

// Lease is the exclusive, time-limited right of one process to act on a resource of the fleet.
type Lease struct {
	Resource     string       `json:"work"`
	Holder       string       `json:"holder"` // see Entry.Holder
	FencingToken FencingToken `json:"token"`
	// Duration is how long the holder may act, counted from its request for the newest renewal.
	Duration time.Duration `json:"lease"`
	Renewals uint64        `json:"renewals"`
	// StepDownRequestedBy names who asked the holder to step down, and the reason; empty if nobody did.
	StepDownRequestedBy string `json:"asked,omitempty"`
	// RevokedBy names the operator who has revoked the lease, and the reason; empty if nobody has. A revoked lease
	// cannot be renewed, and expires.
	RevokedBy string   `json:"pushed,omitempty"`
	GrantedAt Position `json:"since"`
}

// holdsLease reports whether a fencing token is that of the current lease of a resource.
func (s *State) holdsLease(resource string, token FencingToken) bool {
	current, ok := s.Leases[resource]
	return ok && current.FencingToken == token
}

// leaseForEntry returns the lease that an entry concerns. It returns ErrLeaseLost if the entry's token is not that of
// the lease.
func (s *State) leaseForEntry(entry Entry) (Lease, error) {
	current, ok := s.Leases[entry.Resource]
	if !ok || entry.FencingToken != current.FencingToken {
		return Lease{}, ErrLeaseLost
	}
	return current, nil
}

// leaseForOperator is like leaseForEntry, for the entries of operators, which may lack the token.
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
		return 0, ErrConflict // the lease was renewed after the expiry was proposed
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
