package lease

import (
	"testing"
	"time"

	"cobaltward/fleet"
)

const testDuration = 10 * time.Second

func newTestHolder() *Holder {
	return &Holder{Resource: "w", Identity: "a/1", Duration: testDuration}
}

// mustPropose returns the entry that a holder proposes at now. It fails the test unless the entry is of the given
// kind.
func mustPropose(t *testing.T, holder *Holder, now time.Duration, kind fleet.Kind) fleet.Entry {
	t.Helper()
	entry, ok := holder.NextProposal(now)
	if !ok || entry.Kind != kind {
		t.Fatalf("at %v: the holder proposes %+v (%v), want kind %q", now, entry, ok, kind)
	}
	return entry
}

// grant makes a holder request the lease at requestedAt and handle the grant of token at answeredAt.
func grant(t *testing.T, holder *Holder, requestedAt, answeredAt time.Duration, token fleet.FencingToken) {
	t.Helper()
	entry := mustPropose(t, holder, requestedAt, fleet.KindGrantLease)
	holder.HandleResult(requestedAt, answeredAt, entry, fleet.Result{FencingToken: token}, true)
}

// checkToken fails the test unless the holder may act at now under the token want. If want is 0, the holder must not
// act.
func checkToken(t *testing.T, holder *Holder, now time.Duration, want fleet.FencingToken) {
	t.Helper()
	got, ok := holder.FencingToken(now)
	if got != want || ok != (want != 0) {
		t.Errorf("at %v: token %d (%v), want %d", now, got, ok, want)
	}
}

func TestHolder_LeaseCountsFromRequest(t *testing.T) {
	holder := newTestHolder()
	grant(t, holder, 0, 4*time.Second, 7)
	checkToken(t, holder, 9*time.Second-1, 7)
	checkToken(t, holder, 9*time.Second, 0) // a tenth of the duration is left
}

func TestHolder_RenewalExtendsLease(t *testing.T) {
	holder := newTestHolder()
	grant(t, holder, 0, time.Second, 7)
	if entry, ok := holder.NextProposal(2 * time.Second); ok {
		t.Errorf("the holder proposes %+v before the renewal is due", entry)
	}
	renewal := mustPropose(t, holder, 3*time.Second, fleet.KindRenewLease)
	holder.HandleResult(3*time.Second, 4*time.Second, renewal, fleet.Result{FencingToken: 7}, true)
	checkToken(t, holder, 12*time.Second-1, 7)
	checkToken(t, holder, 12*time.Second, 0)
}

func TestHolder_StopsWhenRenewalIsRejected(t *testing.T) {
	holder := newTestHolder()
	grant(t, holder, 0, 0, 7)
	renewal := mustPropose(t, holder, 3*time.Second, fleet.KindRenewLease)
	holder.HandleResult(3*time.Second, 4*time.Second, renewal, fleet.Result{Err: fleet.ErrLeaseLost}, true)
	checkToken(t, holder, 4*time.Second, 0)
	mustPropose(t, holder, 5*time.Second, fleet.KindGrantLease)
}

func TestHolder_StopsWithoutAnswers(t *testing.T) {
	holder := newTestHolder()
	grant(t, holder, 0, 0, 7)
	renewal := mustPropose(t, holder, 3*time.Second, fleet.KindRenewLease)
	holder.HandleResult(3*time.Second, 5*time.Second, renewal, fleet.Result{}, false)
	checkToken(t, holder, 8*time.Second, 7)
	checkToken(t, holder, 9*time.Second, 0)
	mustPropose(t, holder, 10*time.Second, fleet.KindGrantLease)
}

func TestHolder_StepsDownBeforeItReleases(t *testing.T) {
	holder := newTestHolder()
	grant(t, holder, 0, 0, 7)
	holder.SetStepDown(true)
	checkToken(t, holder, time.Second, 0)
	release := mustPropose(t, holder, time.Second, fleet.KindReleaseLease)
	if release.FencingToken != 7 {
		t.Errorf("the holder releases token %d, want 7", release.FencingToken)
	}
	checkToken(t, holder, time.Second, 0)
	holder.HandleResult(time.Second, 2*time.Second, release, fleet.Result{}, true)
	if entry, ok := holder.NextProposal(9 * time.Second); ok {
		t.Errorf("the holder proposes %+v after the release", entry)
	}
	holder.SetStepDown(false)
	mustPropose(t, holder, 9*time.Second, fleet.KindGrantLease)
}

// TestHolder_IgnoresLateAnswers checks that a late answer to an old request does not bring back an older token.
func TestHolder_IgnoresLateAnswers(t *testing.T) {
	holder := newTestHolder()
	late := mustPropose(t, holder, 0, fleet.KindGrantLease)
	grant(t, holder, 6*time.Second, 6*time.Second, 9) // the first request times out after half the duration
	holder.HandleResult(0, 7*time.Second, late, fleet.Result{FencingToken: 8}, true)
	checkToken(t, holder, 7*time.Second, 9)
}
