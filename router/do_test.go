package router

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// wantInvalid checks that err is an *InvalidError for field.
func wantInvalid(t *testing.T, err error, field string) {
	t.Helper()
	var invalid *InvalidError
	if !errors.As(err, &invalid) || invalid.Field != field {
		t.Errorf("got %v, want an invalid %s", err, field)
	}
}

func TestDo_RejectsInvalidRequests(t *testing.T) {
	tests := map[string]Request{ // by invalid field
		"ID":             {Class: "read"},
		"Class":          {ID: "a", Class: "other"},
		"Tenant":         {ID: "a", Class: "read", Tenant: strings.Repeat("x", MaxNameLength+1)},
		"Timeout":        {ID: "a", Class: "read", Timeout: -1},
		"IdempotencyKey": {ID: "a", Class: "undo"},
	}
	for field, req := range tests {
		t.Run(field, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &fakeTransport{attempt: serveAtOnce}
				r, _ := newTestRouter(t, transport, nil)
				_, err := r.Do(t.Context(), req)
				wantInvalid(t, err, field)
				transport.wantAttempts(t, 0)
			})
		})
	}
}

// TestDo_HonorsContext checks that a request is not accepted after its context has ended. The deadline of the context
// limits the wait for an answer. Without that deadline, the deadline of the class limits the wait.
func TestDo_HonorsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &fakeTransport{attempt: hangUntilCancelled}
		r, _ := newTestRouter(t, transport, sendOnce)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := r.Do(ended, readRequest("ended")); !errors.Is(err, context.Canceled) {
			t.Errorf("with an ended context: error %v, want it to be canceled", err)
		}
		transport.wantAttempts(t, 0)

		short, cancel := context.WithTimeout(t.Context(), 300*ms)
		defer cancel()
		began := time.Now()
		answer, err := r.Do(short, readRequest("short"))
		wantOutcome(t, "with a deadline", answer, err, Failed)
		if took := time.Since(began); took >= 300*ms {
			t.Errorf("with a deadline: answered after %v, want less than 300 ms", took)
		}

		began = time.Now()
		wantDo(t, r, readRequest("long"), Failed)
		if took := time.Since(began); took >= classDeadline {
			t.Errorf("without a deadline: answered after %v, want less than the deadline of the class", took)
		}
	})
}
