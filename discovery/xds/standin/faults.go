package standin

import (
	"maps"

	"cobaltward/discovery/xds/resource"

	"google.golang.org/grpc/codes"
)

// faults is how a control plane deviates from the specification; the zero value does not.
type faults struct {
	rejectCode     codes.Code      // streams end with it; codes.OK: they do not
	muted          map[string]bool // by type URL: no responses are sent; replaced as a whole, never changed
	closeCount     int             // how often all streams have been closed
	closeCode      codes.Code      // with which they were
	resendCount    int             // how often streams have been made to send their last response again
	endpointsFirst bool            // the types are sent in the reverse order
	shownVersion   string          // in place of the real version; empty: the real one
	nextNonce      string          // of the next response; empty: a real one
}

// SetMuted makes it stop or resume sending responses of these types, or of clusters and endpoints where none is named.
// Responses held back follow later.
func (p *ControlPlane) SetMuted(on bool, typeURLs ...string) {
	if len(typeURLs) == 0 {
		typeURLs = []string{resource.ClusterURL, resource.AssignmentURL}
	}
	p.changeFaults(func(f *faults) {
		muted := maps.Clone(f.muted)
		if muted == nil {
			muted = make(map[string]bool)
		}
		for _, url := range typeURLs {
			muted[url] = on
		}
		f.muted = muted
	})
}

// RejectStreams makes it end all streams, and those that are opened, with a code, until it is called with codes.OK.
func (p *ControlPlane) RejectStreams(code codes.Code) {
	p.changeFaults(func(f *faults) { f.rejectCode = code })
}

// CloseStreams ends the streams that are open, with a code.
func (p *ControlPlane) CloseStreams(code codes.Code) {
	p.changeFaults(func(f *faults) { f.closeCount, f.closeCode = f.closeCount+1, code })
}

// ResendLast makes every stream send its last response once more.
func (p *ControlPlane) ResendLast() { p.changeFaults(func(f *faults) { f.resendCount++ }) }

func (p *ControlPlane) changeFaults(change func(*faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
	p.notify()
}

// currentFaults is the faults, and a channel that is closed at the next change of anything.
func (p *ControlPlane) currentFaults() (faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}
