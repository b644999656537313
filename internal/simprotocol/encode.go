package simprotocol

import (
	"encoding/json"
	"strconv"
	"time"

	"cobaltward/policy"
)

// names of the actions on the wire, by kind.
var actionNames = [...]string{
	policy.Send: "handOff", policy.Reject: "notNow", policy.Fail: "abort", policy.Cancel: "stopAttempt",
	policy.SetTimer: "wakeMe", policy.Probe: "poll", policy.SendToPeer: "announce", policy.CloseIdle: "freeLinks",
	policy.Log: "sayLog", policy.WatchEndpoints: "listen", policy.FetchEndpoints: "readList",
}

// AppendAction appends the line for one action of an instance.
func AppendAction(b []byte, node int, a policy.Action) []byte {
	b = append(b, `["`...)
	b = append(b, actionNames[a.Kind]...)
	b = append(b, `",`...)
	b = strconv.AppendInt(b, int64(node), 10)
	switch a.Kind {
	case policy.Send:
		b = appendString(appendString(b, a.ID), a.Server)
		if a.Until > 0 {
			b = appendMs(b, a.Until)
		}
	case policy.Reject:
		b = appendString(b, a.ID)
		if a.Wait > 0 {
			b = appendMs(b, a.Wait)
		}
	case policy.Fail:
		b = appendString(b, a.ID)
	case policy.Cancel:
		b = strconv.AppendInt(append(appendString(b, a.ID), ','), int64(a.Attempt), 10)
	case policy.SetTimer:
		b = strconv.AppendUint(append(appendMs(b, a.Wait), ','), a.Token, 10)
	case policy.Probe, policy.CloseIdle:
		b = appendString(b, a.Server)
	case policy.SendToPeer:
		b = appendString(strconv.AppendInt(append(b, ','), int64(a.Peer), 10), a.Text)
	case policy.Log:
		b = appendString(b, a.Text)
	case policy.WatchEndpoints:
		b = strconv.AppendBool(append(b, ','), a.On)
	}
	return append(b, "]\n"...)
}

// AppendCrash appends the line that reports a crash of an instance's decisions.
func AppendCrash(b []byte, node int, text string) []byte {
	b = strconv.AppendInt(append(b, `["broken",`...), int64(node), 10)
	return append(appendString(b, text), "]\n"...)
}

// AppendReplyEnd appends the line that closes a reply.
func AppendReplyEnd(b []byte) []byte { return append(b, "[\"yield\"]\n"...) }

func appendMs(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(append(b, ','), float64(d/time.Microsecond)/1e3, 'f', -1, 64)
}

func appendString(b []byte, s string) []byte {
	b = append(b, ',')
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < 0x20 || c == '"' || c == '\\' || c >= 0x7f {
			q, _ := json.Marshal(s) // a string always encodes
			return append(b, q...)
		}
	}
	b = append(append(b, '"'), s...)
	return append(b, '"')
}
