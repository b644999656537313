package certificates

import (
	"os"
	"slices"
	"testing"
	"time"
)

// pollFixture is a store that is loaded from files, with a watcher of these files and a simulated time.
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
		ca:   newAuthority(t, "one", testNow.AddDate(-1, 0, 0), testNow.AddDate(1, 0, 0)),
		from: testSources(t),
		now:  time.Now(),
	}
	replaceFile(t, fixture.from.Trust, 0o644, fixture.ca.pem())
	cert, key := fixture.issue(testNow.Add(-time.Hour))
	replaceFile(t, fixture.from.Cert, 0o644, cert)
	replaceFile(t, fixture.from.Key, 0o600, key)
	store, err := Open(fixture.from, fixture.now)
	if err != nil {
		t.Fatal(err)
	}
	fixture.store, fixture.watcher = store, store.Watch()
	return fixture
}

func (f *pollFixture) issue(notBefore time.Time) (cert, key []byte) {
	return f.ca.issue(notBefore, testNow.AddDate(0, 0, 30), "a.example")
}

func (f *pollFixture) serial() string { return f.store.Set().Pairs[0].Leaf.SerialNumber.String() }

// poll advances the simulated time by a second, polls the watcher, and compares the result with want. The text of the
// error is not compared. condition describes the state of the files in error messages.
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
	cert, key := fixture.issue(testNow.Add(-time.Hour))
	replaceFile(t, fixture.from.Cert, 0o644, cert)
	fixture.poll(t, "a new certificate without its key", PollResult{})
	replaceFile(t, fixture.from.Key, 0o600, key)
	fixture.poll(t, "its key was written since the last poll", PollResult{})
	fixture.poll(t, "no change since the last poll", PollResult{Changed: true})
	if fixture.serial() == before {
		t.Error("the previous certificate is still in use")
	}
}

// TestFileWatcherPoll_RetriesRejectedFiles checks that rejected files are reported once. After retryInterval, they
// must be loaded again even if they have not changed.
func TestFileWatcherPoll_RetriesRejectedFiles(t *testing.T) {
	fixture := newPollFixture(t)
	before := fixture.serial()
	later := fixture.now.Add(8 * time.Second)
	cert, key := fixture.issue(later)
	replaceFile(t, fixture.from.Cert, 0o644, cert)
	replaceFile(t, fixture.from.Key, 0o600, key)
	fixture.poll(t, "certificate not yet valid", PollResult{})
	fixture.poll(t, "certificate not yet valid, files unchanged since the last poll", PollResult{Err: os.ErrInvalid})
	fixture.poll(t, "rejection already reported", PollResult{})
	if fixture.serial() != before {
		t.Error("a certificate that is not yet valid is in use")
	}
	fixture.now = fixture.now.Add(retryInterval)
	fixture.poll(t, "certificate valid by now", PollResult{Changed: true})
}

func TestFileWatcherPoll_TrustChanged(t *testing.T) {
	fixture := newPollFixture(t)
	other := newAuthority(t, "two", testNow.AddDate(-1, 0, 0), testNow.AddDate(1, 0, 0))
	replaceFile(t, fixture.from.Trust, 0o644, fixture.ca.pem(), other.pem())
	fixture.poll(t, "another authority", PollResult{})
	fixture.poll(t, "another authority, file unchanged since the last poll", PollResult{Changed: true, TrustChanged: true})
}

// TestExpiryWarningsDue checks that there is one warning at each lead time and one at expiry.
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
		t.Errorf("warnings with %v remaining, want 24h, 1h and 0", remaining)
	}
}
