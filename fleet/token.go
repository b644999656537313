package fleet

// Position is the index of an entry in the log. The first entry has position 1; 0 means "none".
type Position uint64

// FencingToken identifies one grant of a lease; 0 means "none". Of two grants of the same resource, the later one has
// the higher token. Receivers of effects reject tokens that are lower than the highest one they have seen.
type FencingToken uint64

// positionBits is the number of low bits of a fencing token that hold the position of the grant. The higher bits hold
// the epoch.
const positionBits = 48

// NewFencingToken returns the token of a lease granted at a position of the log. Tokens of an epoch are higher than all
// tokens of earlier epochs.
func NewFencingToken(epoch uint64, granted Position) FencingToken {
	return FencingToken(epoch<<positionBits | uint64(granted))
}
