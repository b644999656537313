package fleet

// Position is the index of an entry in the log. The first entry has position 1; 0 means "none".
type Position uint64

// FencingToken identifies one grant of a lease; 0 means "none". A later grant of the same resource has a higher
// token. Receivers of effects reject a token that is lower than the highest token they have seen.
type FencingToken uint64

// positionBits is the number of low bits of a fencing token, which hold the position of the grant. The higher bits
// hold the epoch.
const positionBits = 48

// NewFencingToken returns the token of a lease that is granted in epoch at the position granted. It is higher than
// all tokens of earlier epochs.
func NewFencingToken(epoch uint64, granted Position) FencingToken {
	return FencingToken(epoch<<positionBits | uint64(granted))
}
