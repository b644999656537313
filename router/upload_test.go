package router

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// quickUpload is a body whose last byte arrives after the router has called OnComplete, but before the request is
// submitted.
type quickUpload struct{}

var _ Upload = quickUpload{}

func (quickUpload) Length() int64            { return -1 }
func (quickUpload) Open() (io.Reader, error) { return nil, errors.New("not opened here") }
func (quickUpload) Consumed() bool           { return false }

func (quickUpload) OnComplete(completed func(at time.Time)) bool {
	completed(time.Now())
	return false
}

// TestUpload_CompleteBeforeAdmission checks that the timeout of a request starts even if its body is complete before
// admission. The request must not keep the longer time of an upload.
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
