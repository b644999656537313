package identity

import (
	"net/netip"
	"strings"
)

// maxHops is the maximum number of hops that are read from a forwarding header. It bounds the work for a request.
const maxHops = 32

// clientAddress returns the address that the last trusted hop has seen. Hops are read from right to left. A hop is
// accepted if the hop that reports it is trusted. Reading stops at a hop that cannot be parsed. The result is the
// last accepted address.
func (r *Resolver) clientAddress(peer netip.Addr, header map[string][]string) netip.Addr {
	if r.forwarded == "" {
		return peer
	}
	client, hops := peer, 0
	values := header[r.forwarded]
	for i := len(values) - 1; i >= 0; i-- {
		rest := values[i]
		for more := true; more; {
			var text string
			rest, text, more = cutLast(rest, ',')
			hop, ok := r.parseHop(text)
			if hops++; !ok || hops > maxHops {
				return client
			}
			if client = hop; !r.isTrusted(client) {
				return client
			}
		}
	}
	return client
}

// cutLast splits s at the last separator. Without a separator, found is false and after is all of s.
func cutLast(s string, separator byte) (before, after string, found bool) {
	at := strings.LastIndexByte(s, separator)
	if at < 0 {
		return "", s, false
	}
	return s[:at], s[at+1:], true
}

// parseHop parses one hop of the forwarding header.
func (r *Resolver) parseHop(text string) (netip.Addr, bool) {
	text = strings.TrimSpace(text)
	if r.forwarded == "Forwarded" {
		var ok bool
		if text, ok = forwardedNode(text); !ok {
			return netip.Addr{}, false
		}
	}
	if rest, ok := strings.CutPrefix(text, "["); ok { // IPv6 address, possibly with a port
		if text, _, ok = strings.Cut(rest, "]"); !ok {
			return netip.Addr{}, false
		}
	} else if strings.Count(text, ":") == 1 { // IPv4 address with a port
		text, _, _ = strings.Cut(text, ":")
	}
	addr, err := netip.ParseAddr(text)
	if err != nil || addr.Zone() != "" {
		return netip.Addr{}, false
	}
	return addr.Unmap(), true
}

// forwardedNode returns the value of "for" in an element of the Forwarded header (RFC 7239), or an empty string if
// there is none. ok is false if "for" occurs several times.
func forwardedNode(element string) (node string, ok bool) {
	for _, pair := range strings.Split(element, ";") {
		key, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok || !strings.EqualFold(key, "for") {
			continue
		}
		if node != "" {
			return "", false
		}
		node = strings.Trim(value, `"`)
	}
	return node, true
}
