package fleet

// Position is the index of an entry in the log. The first entry has position 1; 0 means "none".
type Position uint64

// FencingToken identifies one grant of a lease. Of two grants of the same resource the later one has the higher token;
// 0 means "none". Receivers of effects reject tokens lower than the highest one they have seen.
type FencingToken uint64

// positionBits is how many low bits of a fencing token hold the position of the grant. The epoch is above them.
const positionBits = 48

// NewFencingToken returns the token of a lease granted at a position of the log. Tokens of a later epoch are higher
// than all tokens of an earlier one.
func NewFencingToken(epoch uint64, granted Position) FencingToken {
	return FencingToken(epoch<<positionBits | uint64(granted))
}
