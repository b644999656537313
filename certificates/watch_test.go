package certificates

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// Files are read once they have stopped changing; what is refused is told once and tried again when it may hold; and
// each of the times before an end is told once.
func TestWatch(t *testing.T) {
	ca := newAuthority(t, "one", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	dir := t.TempDir()
	from := Sources{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Trust: filepath.Join(dir, "ca.pem")}
	put(t, from.Trust, 0o644, ca.pem())
	pair := func(notBefore time.Time) (cert, key []byte) {
		return ca.issue(notBefore, day.AddDate(0, 0, 30), "a.example")
	}
	cert, key := pair(day.Add(-time.Hour))
	put(t, from.Cert, 0o644, cert)
	put(t, from.Key, 0o600, key)
	now := time.Now()
	s, err := Open(from, now)
	if err != nil {
		t.Fatal(err)
	}
	w := s.Watch()
	look := func(what string, want PollResult) {
		t.Helper()
		now = now.Add(time.Second)
		got := w.Poll(now)
		if got.Changed != want.Changed || got.TrustChanged != want.TrustChanged || (got.Err != nil) != (want.Err != nil) {
			t.Errorf("%s: %+v, want %+v", what, got, want)
		}
	}
	refused, serial := PollResult{Err: os.ErrInvalid}, func() string { return s.Set().Pairs[0].Leaf.SerialNumber.String() }
	was := serial()
	look("nothing new", PollResult{})
	cert, key = pair(day.Add(-time.Hour))
	put(t, from.Cert, 0o644, cert)
	look("a certificate without its key yet", PollResult{})
	put(t, from.Key, 0o600, key)
	look("its key, just now", PollResult{})
	look("quiet", PollResult{Changed: true})
	if serial() == was {
		t.Error("the former certificate goes on")
	}
	was = serial()
	later := now.Add(8 * time.Second)
	cert, key = pair(later)
	put(t, from.Cert, 0o644, cert)
	put(t, from.Key, 0o600, key)
	look("not yet valid", PollResult{})
	look("not yet valid, quiet", refused)
	look("told already", PollResult{})
	if serial() != was {
		t.Error("a certificate that is not valid yet is in force")
	}
	now = now.Add(again)
	look("valid by now", PollResult{Changed: true})
	put(t, from.Trust, 0o644, ca.pem(), newAuthority(t, "two", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0)).pem())
	look("another trust", PollResult{})
	look("another trust, quiet", PollResult{Changed: true, TrustChanged: true})

	warnings := NewExpiryWarnings([]time.Duration{time.Hour, 24 * time.Hour})
	end := now.Add(25 * time.Hour)
	entries := []Summary{{Source: "a", Serial: "1", ExpiresAt: end}, {Source: "b", Serial: "2", ExpiresAt: end.AddDate(1, 0, 0)}}
	var told []time.Duration
	for at := now; at.Before(end.Add(2 * time.Hour)); at = at.Add(time.Minute) {
		for _, x := range warnings.Due(at, entries) {
			told = append(told, x.Remaining)
		}
	}
	if !slices.Equal(told, []time.Duration{24 * time.Hour, time.Hour, 0}) {
		t.Errorf("told with %v left", told)
	}
}

// A key seals only after one rotation in which all nodes could read it, and opens for some rotations more.
func TestTicketsRotate(t *testing.T) {
	file := filepath.Join(t.TempDir(), "tickets")
	sealed := make(map[[ticketKey]byte]int) // by which rotation a key first sealed
	var before *Tickets
	for n := range 12 {
		if err := RotateTickets(file); err != nil {
			t.Fatal(err)
		}
		now, err := OpenTickets(file)
		if err != nil {
			t.Fatal(err)
		}
		k := now.Keys()
		if before != nil && !slices.Contains(before.Keys(), k[0]) {
			t.Fatalf("rotation %d: a key seals that others could not have read", n)
		}
		if before != nil && !slices.Contains(k, before.Keys()[0]) {
			t.Fatalf("rotation %d: what was sealed just now can't be opened", n)
		}
		if _, again := sealed[k[0]]; again || len(k) > mostTicket {
			t.Fatalf("rotation %d: %d keys, the first of them sealed before: %v", n, len(k), again)
		}
		sealed[k[0]] = n
		before = now
	}
	if err := os.Chmod(file, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := RotateTickets(file); err == nil || !strings.Contains(err.Error(), "others may read it") {
		t.Errorf("got %v", err)
	}
}

// No bytes panic what reads certificates and keys, and what it takes is whole.
func FuzzKeys(f *testing.F) {
	ca := newAuthority(f, "one", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	cert, key := ca.issue(day.Add(-time.Hour), day.AddDate(0, 0, 30), "a.example")
	f.Add(cert)
	f.Add(key)
	f.Add(append(slices.Clone(cert), ca.pem()...))
	f.Add([]byte("-----BEGIN CERTIFICATE-----\n-----END CERTIFICATE-----"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if all, err := parse(raw); err == nil && (len(all) == 0 || len(all) > maxCerts) {
			t.Errorf("%d certificates", len(all))
		}
		if signer, err := privateKey(raw); err == nil && signer.Public() == nil {
			t.Error("a key without its public half")
		}
	})
}
