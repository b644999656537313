package certificates

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestRotateTickets checks that a key encrypts only if it was in the file before the rotation. Some nodes may not
// have loaded a newer key yet. A key must still decrypt after the next rotation, and the file must be accessible to
// its owner only.
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
			t.Fatalf("rotation %d: the key that encrypts was not in the file before, so other nodes cannot have it", n)
		}
		if previous != nil && !slices.Contains(keys, previous.Keys()[0]) {
			t.Fatalf("rotation %d: the key that encrypted before was dropped, so its tickets cannot be decrypted", n)
		}
		if _, again := firstEncrypts[keys[0]]; again || len(keys) > maxTicketKeys {
			t.Fatalf("rotation %d: %d keys; first key has encrypted in an earlier rotation: %v", n, len(keys), again)
		}
		firstEncrypts[keys[0]] = n
		previous = current
	}
	if err := os.Chmod(file, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := RotateTickets(file); err == nil || !strings.Contains(err.Error(), "accessible to others") {
		t.Errorf("file readable by others: got error %v", err)
	}
}
