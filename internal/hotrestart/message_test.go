package hotrestart

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"
)

// TestDecode_RejectsMalformed checks that a valid order is decoded. A message must be rejected if it is truncated,
// empty, not an object, too long or of another version.
func TestDecode_RejectsMalformed(t *testing.T) {
	whole, err := json.Marshal(Order{Version: Version, At: time.Unix(1, 0), Standby: true})
	if err != nil {
		t.Fatal(err)
	}
	order, err := Decode[Order](whole)
	if err != nil || !order.Standby || !order.Supersedes(Order{}) || order.Supersedes(Order{At: time.Unix(1, 0)}) {
		t.Errorf("decoded order %+v, %v, want the order that was encoded", order, err)
	}
	for name, raw := range map[string]string{
		"truncated":     string(whole[:len(whole)/2]),
		"empty":         "",
		"not an object": "7",
		"long":          strings.Repeat(" ", MaxSize) + string(whole),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Decode[Order]([]byte(raw)); err == nil {
				t.Error("the malformed message was decoded without an error")
			}
		})
	}
	if _, err := Decode[Report]([]byte(`{"version":2}`)); !errors.Is(err, ErrUnsupportedVersion) {
		t.Errorf("message of another version: got %v, want ErrUnsupportedVersion", err)
	}
}
