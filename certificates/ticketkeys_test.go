package certificates

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// A key encrypts only after a rotation in which all nodes could load it, and decrypts for some rotations more.
func TestRotateTickets(t *testing.T) {
	file := filepath.Join(t.TempDir(), "tickets")
	firstEncrypts := make(map[[ticketKeySize]byte]int) // the rotation in which a key first encrypts
	var previous *Tickets
	for n := range 12 {
		if err := RotateTickets(file); err != nil {
			t.Fatal(err)
		}
		current, err := OpenTickets(file)
		if err != nil {
			t.Fatal(err)
		}
		keys := current.Keys()
		if previous != nil && !slices.Contains(previous.Keys(), keys[0]) {
			t.Fatalf("rotation %d: a key encrypts that other nodes could not have loaded", n)
		}
		if previous != nil && !slices.Contains(keys, previous.Keys()[0]) {
			t.Fatalf("rotation %d: a ticket issued just before can't be decrypted", n)
		}
		if _, again := firstEncrypts[keys[0]]; again || len(keys) > maxTicketKeys {
			t.Fatalf("rotation %d: %d keys, the first of them has encrypted before: %v", n, len(keys), again)
		}
		firstEncrypts[keys[0]] = n
		previous = current
	}
	if err := os.Chmod(file, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := RotateTickets(file); err == nil || !strings.Contains(err.Error(), "accessible to others") {
		t.Errorf("got error %v", err)
	}
}
