package simprotocol

import (
	"errors"

	"cobaltward/policy"
)

// decodeEvent decodes args, the values of the message called name, to an event of package policy.
func (d *Decoder) decodeEvent(name string, args *args) (policy.Event, error) {
	switch name {
	case "ingress":
		return args.requestEvent(), nil
	case "completed":
		return args.outcomeEvent(), nil
	case "reminder":
		return policy.Timer{Token: args.uint(1, "token")}, nil
	case "lapsed":
		return policy.ClientGone{ID: args.str(1, "ticket")}, nil
	case "headers":
		return policy.FirstByte{
			ID: args.str(1, "ticket"), Attempt: args.int(2, "roundNo"),
			Latency: args.millis(3, "waitTime"), Server: args.internedStr(4, "server"),
		}, nil
	case "healthResult":
		return policy.ProbeResult{
			Latency: args.millis(1, "waitTime"), Code: args.code(2),
			Server: args.internedStr(3, "server"), LoadReport: args.loadReport(4),
		}, nil
	case "neighbourSays":
		return policy.PeerMessage{From: args.int(1, "from"), Body: args.str(2, "body")}, nil
	case "peersKnown":
		return d.endpointListEvent(args)
	}
	return nil, errors.New("unknown message")
}

func (a *args) requestEvent() policy.Request {
	return policy.Request{
		ID: a.str(1, "ticket"), Class: a.internedStr(2, "cls"), Tenant: a.optInternedStr(3, "team"),
		Key: a.optStr(4, "object"), ExpiresIn: a.millis(5, "expiresIn"), CostHint: a.optMillis(6, "effort"),
		Retry: a.optBool(7, "isRetry"), Write: a.optBool(8, "update"),
	}
}

func (a *args) outcomeEvent() policy.Outcome {
	return policy.Outcome{
		ID: a.str(1, "ticket"), Attempt: a.int(2, "roundNo"), Server: a.internedStr(3, "server"),
		Code: a.code(4), Latency: a.millis(5, "waitTime"), Answered: a.optBool(6, "doneFlag"), LoadReport: a.loadReport(7),
	}
}

var outcomeCodes = map[string]policy.Code{
	"done": policy.OK, "err": policy.ServerError, "busy": policy.Overloaded, "etimedout": policy.TimedOut,
	"econnrefused": policy.ConnectFailed, "econnreset": policy.Reset,
	"ecanceled": policy.Cancelled, "skipped": policy.Superseded,
}

func (a *args) code(i int) policy.Code {
	s := a.internedStr(i, "rc")
	c, ok := outcomeCodes[s]
	if !ok {
		a.fail("rc", "unknown outcome code %q", s)
	}
	return c
}
