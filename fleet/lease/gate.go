package lease

import "cobaltward/fleet"

// FencingGate records the highest fencing token of each resource that a receiver has seen. After a token changes the
// gate, the receiver must store the gate before it carries out any effect under that token.
type FencingGate struct {
	HighestTokens map[string]fleet.FencingToken `json:"seen"` // by resource
}

// Admit reports whether an effect on resource under token may be carried out, and whether token has changed the gate.
func (g *FencingGate) Admit(resource string, token fleet.FencingToken) (admitted, changed bool) {
	highest := g.HighestTokens[resource]
	if token <= highest {
		return token == highest && token != 0, false
	}
	if g.HighestTokens == nil {
		g.HighestTokens = make(map[string]fleet.FencingToken)
	}
	g.HighestTokens[resource] = token
	return true, true
}
