package standin

import (
	"maps"

	"cobaltward/discovery/xds/resource"

	"google.golang.org/grpc/codes"
)

// faults contains a control plane's deviations from the specification. The zero value means no deviation.
type faults struct {
	rejectCode      codes.Code      // status code with which all streams are rejected; codes.OK: no stream is rejected
	muted           map[string]bool // set of type URLs without responses; replaced at each change, never modified
	closeCount      int             // number of calls of CloseStreams
	closeCode       codes.Code      // status code of the last call of CloseStreams
	resendCount     int             // number of calls of ResendLast
	endpointsFirst  bool            // whether responses are sent in reverse order of their types
	versionOverride string          // version sent instead of the real version; empty: the real version
	nonceOverride   string          // nonce of the next response; empty: a generated nonce
}

// SetMuted makes the control plane stop or resume sending responses of the given types. Without types, it applies to
// clusters and endpoints. Withheld responses are sent once the type is no longer muted.
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

// RejectStreams makes the control plane end all open and new streams with a status code. A call with codes.OK ends
// the rejections.
func (p *ControlPlane) RejectStreams(code codes.Code) {
	p.changeFaults(func(f *faults) { f.rejectCode = code })
}

// CloseStreams ends all open streams with a status code.
func (p *ControlPlane) CloseStreams(code codes.Code) {
	p.changeFaults(func(f *faults) { f.closeCount, f.closeCode = f.closeCount+1, code })
}

// ResendLast makes every stream resend its last response.
func (p *ControlPlane) ResendLast() { p.changeFaults(func(f *faults) { f.resendCount++ }) }

func (p *ControlPlane) changeFaults(change func(*faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
	p.notify()
}

// currentFaults returns the current faults and a channel. The channel is closed at the next change of faults or
// resources.
func (p *ControlPlane) currentFaults() (faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}
