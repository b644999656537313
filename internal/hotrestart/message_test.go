package hotrestart

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"
)

// TestDecode_RejectsMalformed reads an order, and rejects one that is torn, empty, no object, too long or of another
// version.
func TestDecode_RejectsMalformed(t *testing.T) {
	whole, err := json.Marshal(Order{Version: Version, At: time.Unix(1, 0), Standby: true})
	if err != nil {
		t.Fatal(err)
	}
	order, err := Decode[Order](whole)
	if err != nil || !order.Standby || !order.Supersedes(Order{}) || order.Supersedes(Order{At: time.Unix(1, 0)}) {
		t.Errorf("%+v, %v", order, err)
	}
	for name, raw := range map[string]string{
		"torn":      string(whole[:len(whole)/2]),
		"empty":     "",
		"no object": "7",
		"long":      strings.Repeat(" ", MaxSize) + string(whole),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Decode[Order]([]byte(raw)); err == nil {
				t.Error("it is read")
			}
		})
	}
	if _, err := Decode[Report]([]byte(`{"version":2}`)); !errors.Is(err, ErrUnsupportedVersion) {
		t.Errorf("another version: %v", err)
	}
}
