package multiprocess

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"cobaltward/fleet"
)

// LeaseRequest is a proposal to grant, renew or release a lease, as recorded by the proposing process. Times are Unix
// times of the machine, in nanoseconds.
type LeaseRequest struct {
	Number       uint64             `json:"n"` // sequence number among the requests of the process
	Holder       string             `json:"holder"`
	Kind         fleet.Kind         `json:"kind"`
	Resource     string             `json:"work"`
	Token        fleet.FencingToken `json:"token"`
	SentAt       int64              `json:"called"`
	RespondedAt  int64              `json:"back"`  // 0: no response before the process ended
	OutcomeKnown bool               `json:"known"` // whether the process learned the outcome of the proposal
	GrantedToken fleet.FencingToken `json:"got"`
	Error        string             `json:"error"`
}

// granted reports whether the request obtained a lease.
func (r LeaseRequest) granted() bool {
	return r.Kind == fleet.KindGrantLease && r.OutcomeKnown && r.Error == ""
}

// leaseRecorder appends the lease requests of a process to a file.
type leaseRecorder struct {
	mu     sync.Mutex
	file   *os.File
	number uint64
}

// newLeaseRecorder returns a recorder that appends to a file. The file stays open until the process ends.
func newLeaseRecorder(path string) (*leaseRecorder, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the record of lease requests: %w", err)
	}
	return &leaseRecorder{file: file}, nil
}

// observe records a request before the request is sent. The returned function records the request again with its
// response.
func (r *leaseRecorder) observe(entry fleet.Entry, holder string) func(fleet.Result, bool) {
	r.mu.Lock()
	r.number++
	request := LeaseRequest{
		Number: r.number, Holder: holder, Kind: entry.Kind, Resource: entry.Resource, Token: entry.FencingToken,
		SentAt: time.Now().UnixNano(),
	}
	r.mu.Unlock()
	r.write(request)
	return func(result fleet.Result, outcomeKnown bool) {
		request.RespondedAt = time.Now().UnixNano()
		request.OutcomeKnown, request.GrantedToken = outcomeKnown, result.FencingToken
		if result.Err != nil {
			request.Error = result.Err.Error()
		}
		r.write(request)
	}
}

func (r *leaseRecorder) write(request LeaseRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	raw, err := json.Marshal(request)
	if err == nil {
		_, err = r.file.Write(append(raw, '\n'))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "record a lease request:", err)
	}
}

// readLeaseRequests returns the requests that a process recorded. Each request appears once, with its response if
// there was one. Lines that a crash cut short are skipped.
func readLeaseRequests(path string) (requests []LeaseRequest) {
	file, err := os.Open(path)
	if err != nil {
		return nil // the process recorded no requests
	}
	defer func() { _ = file.Close() }()
	indexes := make(map[string]int)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var request LeaseRequest
		if json.Unmarshal(lines.Bytes(), &request) != nil {
			continue
		}
		key := fmt.Sprint(request.Holder, request.Number)
		if i, ok := indexes[key]; ok {
			requests[i] = request
			continue
		}
		indexes[key] = len(requests)
		requests = append(requests, request)
	}
	return requests
}
