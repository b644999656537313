package multiprocess

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"cobaltward/fleet"
)

// owned is what the model of a work's ownership knows: who has it, and under which token.
type owned struct {
	token   fleet.FencingToken // 0: nobody, or one that nobody was told of
	highest fleet.FencingToken
}

// ownership says which answers the asks of many processes can have had if each took effect at one moment between its
// call and its answer. A lease may end at any time without an ask; an ask without an answer may have had its effect
// or not, at any time from its call on, and so may one that the network repeats.
var ownership = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{owned{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(owned), input.(Ask), output.(Ask)
		none, took := owned{highest: s.highest}, out.Known && out.Error == ""
		switch {
		case in.Kind == fleet.KindGrantLease && took && out.Got > s.highest: // the one before may have ended by itself
			return []any{owned{out.Got, out.Got}}
		case in.Kind == fleet.KindGrantLease && took:
			return nil // a token that does not grow
		case in.Kind == fleet.KindGrantLease && out.Known: // another has it, or had
			return []any{s}
		case in.Kind == fleet.KindGrantLease:
			return []any{s, none}
		case took && s.token != in.Token:
			return nil // renewed or released by who did not have it
		case in.Kind == fleet.KindRenewLease && took:
			return []any{s}
		case in.Kind == fleet.KindRenewLease && out.Known && s.token == in.Token: // it had ended by itself
			return []any{none}
		case in.Kind == fleet.KindReleaseLease && took:
			return []any{none}
		case in.Kind == fleet.KindReleaseLease && !out.Known && s.token == in.Token:
			return []any{s, none}
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// CheckAsks says whether the asks of all processes can have been answered by one owner at a time. An error names the
// first token that is out of order, where one is, else that no order explains the answers.
func CheckAsks(all []Ask, within time.Duration) error {
	clients := make(map[string]int)
	var history []porcupine.Operation
	for _, a := range all {
		if _, ok := clients[a.Holder]; !ok {
			clients[a.Holder] = len(clients)
		}
		back := a.Back
		if !a.Known {
			if a.Kind == fleet.KindRenewLease {
				continue // one that is not answered changes nothing
			}
			back = math.MaxInt64
		}
		history = append(history, porcupine.Operation{ClientId: clients[a.Holder], Input: a, Call: a.Called, Output: a, Return: back})
	}
	if porcupine.CheckOperationsTimeout(ownership, history, within) != porcupine.Illegal {
		return nil
	}
	granted := slices.DeleteFunc(slices.Clone(all), func(a Ask) bool { return a.Kind != fleet.KindGrantLease || !a.Known || a.Error != "" })
	slices.SortFunc(granted, func(a, b Ask) int { return cmp.Compare(a.Back, b.Back) })
	for i := 1; i < len(granted); i++ {
		if a, b := granted[i-1], granted[i]; b.Called > a.Back && b.Got <= a.Got {
			return fmt.Errorf("%s was granted token %d after %s had %d", b.Holder, b.Got, a.Holder, a.Got)
		}
	}
	return fmt.Errorf("no order of %d asks explains their answers", len(history))
}
