package router

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// quickUpload is a body whose last byte comes right after the router has asked to be notified of it, before the request
// is submitted.
type quickUpload struct{}

var _ Upload = quickUpload{}

func (quickUpload) Length() int64            { return -1 }
func (quickUpload) Open() (io.Reader, error) { return nil, errors.New("not opened here") }
func (quickUpload) Consumed() bool           { return false }

func (quickUpload) OnComplete(completed func(at time.Time)) bool {
	completed(time.Now())
	return false
}

// A body that is complete before its request is admitted starts the request's timeout all the same: the request does
// not keep the time that an upload may take.
func TestUpload_CompleteBeforeAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newTestRouter(t, &fakeTransport{attempt: hangUntilCancelled}, noActions)
		began := time.Now()
		req := readRequest("r1")
		req.Timeout = 200 * ms
		req.Upload = quickUpload{}
		wantDo(t, r, req, Expired)
		if took := time.Since(began); took >= 200*ms || took < 180*ms {
			t.Errorf("answered after %v, want it before the client's timeout of 200 ms", took)
		}
	})
}
