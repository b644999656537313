package lease

import "cobaltward/fleet"

// FencingGate remembers the highest fencing token of each resource that a receiver has seen. It has to be stored
// before anything is done under a token that raised it.
type FencingGate struct {
	HighestTokens map[string]fleet.FencingToken `json:"seen"` // by resource
}

// Admit reports whether an effect under a token may be carried out, and whether the gate was changed by the token.
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
