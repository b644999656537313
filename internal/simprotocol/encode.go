package simprotocol

import (
	"encoding/json"
	"strconv"
	"time"

	"cobaltward/policy"
)

// actionNames contains the protocol's name of each action, by kind.
var actionNames = [...]string{
	policy.Send: "handOff", policy.Reject: "notNow", policy.Fail: "abort", policy.Cancel: "stopAttempt",
	policy.SetTimer: "wakeMe", policy.Probe: "poll", policy.SendToPeer: "announce", policy.CloseIdle: "freeLinks",
	policy.Log: "sayLog", policy.WatchEndpoints: "listen", policy.FetchEndpoints: "readList",
}

// AppendAction appends the line for an action of the instance with number node.
func AppendAction(b []byte, node int, action policy.Action) []byte {
	b = append(b, `["`...)
	b = append(b, actionNames[action.Kind]...)
	b = append(b, `",`...)
	b = strconv.AppendInt(b, int64(node), 10)
	switch action.Kind {
	case policy.Send:
		b = appendString(appendString(b, action.ID), action.Server)
		if action.Until > 0 {
			b = appendMillis(b, action.Until)
		}
	case policy.Reject:
		b = appendString(b, action.ID)
		if action.Wait > 0 {
			b = appendMillis(b, action.Wait)
		}
	case policy.Fail:
		b = appendString(b, action.ID)
	case policy.Cancel:
		b = strconv.AppendInt(append(appendString(b, action.ID), ','), int64(action.Attempt), 10)
	case policy.SetTimer:
		b = strconv.AppendUint(append(appendMillis(b, action.Wait), ','), action.Token, 10)
	case policy.Probe, policy.CloseIdle:
		b = appendString(b, action.Server)
	case policy.SendToPeer:
		b = appendString(strconv.AppendInt(append(b, ','), int64(action.Peer), 10), action.Text)
	case policy.Log:
		b = appendString(b, action.Text)
	case policy.WatchEndpoints:
		b = strconv.AppendBool(append(b, ','), action.On)
	}
	return append(b, "]\n"...)
}

// AppendCrash appends the line that reports a panic of the instance with number node. text is the panic's message.
func AppendCrash(b []byte, node int, text string) []byte {
	b = strconv.AppendInt(append(b, `["broken",`...), int64(node), 10)
	return append(appendString(b, text), "]\n"...)
}

// AppendReplyEnd appends the line that ends a reply.
func AppendReplyEnd(b []byte) []byte { return append(b, "[\"yield\"]\n"...) }

func appendMillis(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(append(b, ','), float64(d/time.Microsecond)/1e3, 'f', -1, 64)
}

func appendString(b []byte, s string) []byte {
	b = append(b, ',')
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < 0x20 || c == '"' || c == '\\' || c >= 0x7f {
			quoted, _ := json.Marshal(s) // never fails for a string
			return append(b, quoted...)
		}
	}
	b = append(append(b, '"'), s...)
	return append(b, '"')
}
