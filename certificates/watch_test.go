package certificates

import (
	"os"
	"slices"
	"testing"
	"time"
)

// pollFixture is a store on files, watched by a watcher that is polled once a second.
type pollFixture struct {
	ca      authority
	from    Sources
	store   *Store
	watcher *FileWatcher
	now     time.Time
}

func newPollFixture(t *testing.T) *pollFixture {
	t.Helper()
	fixture := &pollFixture{
		ca:   newAuthority(t, "one", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0)),
		from: testSources(t),
		now:  time.Now(),
	}
	put(t, fixture.from.Trust, 0o644, fixture.ca.pem())
	cert, key := fixture.issue(day.Add(-time.Hour))
	put(t, fixture.from.Cert, 0o644, cert)
	put(t, fixture.from.Key, 0o600, key)
	store, err := Open(fixture.from, fixture.now)
	if err != nil {
		t.Fatal(err)
	}
	fixture.store, fixture.watcher = store, store.Watch()
	return fixture
}

func (f *pollFixture) issue(notBefore time.Time) (cert, key []byte) {
	return f.ca.issue(notBefore, day.AddDate(0, 0, 30), "a.example")
}

func (f *pollFixture) serial() string { return f.store.Set().Pairs[0].Leaf.SerialNumber.String() }

// poll polls a second later; of an error it compares only whether there is one.
func (f *pollFixture) poll(t *testing.T, condition string, want PollResult) {
	t.Helper()
	f.now = f.now.Add(time.Second)
	got := f.watcher.Poll(f.now)
	if got.Changed != want.Changed || got.TrustChanged != want.TrustChanged || (got.Err != nil) != (want.Err != nil) {
		t.Errorf("%s: got %+v, want %+v", condition, got, want)
	}
}

func TestFileWatcherPoll_WaitsUntilSettled(t *testing.T) {
	fixture := newPollFixture(t)
	before := fixture.serial()
	fixture.poll(t, "no change", PollResult{})
	cert, key := fixture.issue(day.Add(-time.Hour))
	put(t, fixture.from.Cert, 0o644, cert)
	fixture.poll(t, "a new certificate without its key", PollResult{})
	put(t, fixture.from.Key, 0o600, key)
	fixture.poll(t, "its key has just been written", PollResult{})
	fixture.poll(t, "settled", PollResult{Changed: true})
	if fixture.serial() == before {
		t.Error("the previous certificate is still in use")
	}
}

// A rejection is reported once, and the load is retried later although the files are the same.
func TestFileWatcherPoll_RetriesRejectedFiles(t *testing.T) {
	fixture := newPollFixture(t)
	before := fixture.serial()
	later := fixture.now.Add(8 * time.Second)
	cert, key := fixture.issue(later)
	put(t, fixture.from.Cert, 0o644, cert)
	put(t, fixture.from.Key, 0o600, key)
	fixture.poll(t, "not yet valid", PollResult{})
	fixture.poll(t, "not yet valid, settled", PollResult{Err: os.ErrInvalid})
	fixture.poll(t, "already reported", PollResult{})
	if fixture.serial() != before {
		t.Error("a certificate that is not yet valid is in use")
	}
	fixture.now = fixture.now.Add(retryInterval)
	fixture.poll(t, "valid meanwhile", PollResult{Changed: true})
}

func TestFileWatcherPoll_TrustChanged(t *testing.T) {
	fixture := newPollFixture(t)
	other := newAuthority(t, "two", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	put(t, fixture.from.Trust, 0o644, fixture.ca.pem(), other.pem())
	fixture.poll(t, "another authority", PollResult{})
	fixture.poll(t, "another authority, settled", PollResult{Changed: true, TrustChanged: true})
}

// Each lead time is reported once, and so is expiry.
func TestExpiryWarningsDue(t *testing.T) {
	now := time.Now()
	warnings := NewExpiryWarnings([]time.Duration{time.Hour, 24 * time.Hour})
	expiry := now.Add(25 * time.Hour)
	current := []Summary{
		{Source: "a", Serial: "1", ExpiresAt: expiry},
		{Source: "b", Serial: "2", ExpiresAt: expiry.AddDate(1, 0, 0)},
	}
	var remaining []time.Duration
	for at := now; at.Before(expiry.Add(2 * time.Hour)); at = at.Add(time.Minute) {
		for _, warning := range warnings.Due(at, current) {
			remaining = append(remaining, warning.Remaining)
		}
	}
	if !slices.Equal(remaining, []time.Duration{24 * time.Hour, time.Hour, 0}) {
		t.Errorf("warned with %v remaining", remaining)
	}
}
