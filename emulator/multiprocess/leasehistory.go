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

// leaseState is a state of the lease model.
type leaseState struct {
	token   fleet.FencingToken // 0: no holder, or a holder that did not receive its grant
	highest fleet.FencingToken
}

// leaseModel defines the valid responses to the lease requests of several processes. Each request takes effect at one
// moment between its sending and its response. A request without a response may take effect at any time after its
// sending, or never. The same holds for a duplicated request. A lease may expire at any time without a request.
var leaseModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{leaseState{}} },
	Step: func(state, input, output any) []any {
		return nextLeaseStates(state.(leaseState), input.(LeaseRequest), output.(LeaseRequest))
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// nextLeaseStates returns the states that may follow a request with the given response; none if the response is
// invalid.
func nextLeaseStates(state leaseState, request, response LeaseRequest) []any {
	free := leaseState{highest: state.highest}
	succeeded := response.OutcomeKnown && response.Error == ""
	switch {
	case request.Kind == fleet.KindGrantLease:
		return statesAfterGrant(state, response)
	case succeeded && state.token != request.Token:
		return nil // only the holder can renew or release
	case request.Kind == fleet.KindRenewLease && succeeded:
		return []any{state}
	case request.Kind == fleet.KindRenewLease && response.OutcomeKnown && state.token == request.Token:
		return []any{free} // the lease expired
	case request.Kind == fleet.KindReleaseLease && succeeded:
		return []any{free}
	case request.Kind == fleet.KindReleaseLease && !response.OutcomeKnown && state.token == request.Token:
		return []any{state, free}
	}
	return []any{state}
}

func statesAfterGrant(state leaseState, response LeaseRequest) []any {
	switch {
	case response.granted() && response.GrantedToken > state.highest: // the previous lease may have expired
		return []any{leaseState{response.GrantedToken, response.GrantedToken}}
	case response.granted():
		return nil // tokens must increase
	case response.OutcomeKnown: // another process holds or held the lease
		return []any{state}
	}
	return []any{state, leaseState{highest: state.highest}}
}

// CheckLeaseHistory checks that the responses to all lease requests are consistent with one lease holder at a time.
// It reports no violation if the search exceeds the timeout. The error names the first token that is out of order, if
// any.
func CheckLeaseHistory(requests []LeaseRequest, timeout time.Duration) error {
	history := leaseOperations(requests)
	if porcupine.CheckOperationsTimeout(leaseModel, history, timeout) != porcupine.Illegal {
		return nil
	}
	var grants []LeaseRequest
	for _, request := range requests {
		if request.granted() {
			grants = append(grants, request)
		}
	}
	slices.SortFunc(grants, func(a, b LeaseRequest) int { return cmp.Compare(a.RespondedAt, b.RespondedAt) })
	for i := 1; i < len(grants); i++ {
		before, after := grants[i-1], grants[i]
		if after.SentAt > before.RespondedAt && after.GrantedToken <= before.GrantedToken {
			return fmt.Errorf("lease history: %s was granted token %d after %s was granted %d",
				after.Holder, after.GrantedToken, before.Holder, before.GrantedToken)
		}
	}
	return fmt.Errorf("lease history: no order of the %d requests explains their responses", len(history))
}

// leaseOperations converts requests to operations of the model. It omits renewals without a response, because they
// change nothing in the model.
func leaseOperations(requests []LeaseRequest) (operations []porcupine.Operation) {
	clients := make(map[string]int)
	for _, request := range requests {
		if _, ok := clients[request.Holder]; !ok {
			clients[request.Holder] = len(clients)
		}
		returned := request.RespondedAt
		if !request.OutcomeKnown {
			if request.Kind == fleet.KindRenewLease {
				continue
			}
			returned = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{
			ClientId: clients[request.Holder],
			Input:    request, Call: request.SentAt,
			Output: request, Return: returned,
		})
	}
	return operations
}
