package result

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// overQuotaValue is the value of a request that exceeds the tenant's quota. Other requests have the value 1.
const overQuotaValue = 0.05

// Status is the final status of a request after all its attempts.
type Status uint8

// The final statuses of a request.
const (
	Served Status = iota
	Rejected
	Failed      // answered with an error; the request may have run
	Unreachable // no node was up at the last attempt, or the node crashed
	ClientLeft
	statusCount // number of statuses
)

var statusNames = [statusCount]string{"served", "refused", "failed", "missed", "gave up"}

// String returns the name of the status in reports.
func (s Status) String() string { return statusNames[s] }

// Service summarizes the outcomes of a set of requests.
type Service struct {
	Offered           int     `json:"offered"`
	OnTime            int     `json:"served_in_aim"` // served within the latency objective
	Late              int     `json:"served_late"`
	Rejected          int     `json:"refused"`
	Failed            int     `json:"failed"`
	Unreachable       int     `json:"missed"`
	ClientLeft        int     `json:"gave_up"`
	WithinQuota       int     `json:"within_share"`
	WithinQuotaOnTime int     `json:"within_share_in_aim"`
	Value             float64 `json:"worth"`
	OfferedValue      float64 `json:"worth_offered"`
	P50               float64 `json:"p50_ms"`
	P99               float64 `json:"p99_ms"`

	latency histogram
}

func newService() *Service {
	return &Service{latency: histogram{hdrhistogram.New(1, maxLatency, latencyDigits)}}
}

// ValueShare returns the fraction of the offered value that was served.
func (s *Service) ValueShare() float64 {
	if s.OfferedValue == 0 {
		return 1
	}
	return s.Value / s.OfferedValue
}

// add counts a request with its outcome. lateValue is the fraction of the request's value that remains if the answer
// is late.
func (s *Service) add(outcome *Outcome, overQuota, onTime bool, lateValue float64) {
	value := 1.0
	if overQuota {
		value = overQuotaValue
	}
	s.Offered++
	s.OfferedValue += value
	if !overQuota {
		s.WithinQuota++
	}
	switch outcome.Status {
	case Served:
		s.latency.add(outcome.Latency)
		if !onTime {
			s.Late++
			s.Value += value * lateValue
			return
		}
		s.OnTime++
		s.Value += value
		if !overQuota {
			s.WithinQuotaOnTime++
		}
	case Rejected:
		s.Rejected++
	case Failed:
		s.Failed++
	case Unreachable:
		s.Unreachable++
	case ClientLeft:
		s.ClientLeft++
	}
}

const (
	maxLatency    = int64(time.Hour / time.Microsecond) // in microseconds; longer latencies are recorded as maxLatency
	latencyDigits = 2                                   // significant digits
)

// histogram records latencies in microseconds with bounded memory.
type histogram struct{ *hdrhistogram.Histogram }

func (h histogram) add(d time.Duration) {
	_ = h.RecordValue(min(maxLatency, max(1, d.Microseconds()))) // the value is never out of range
}

// quantile returns the q-quantile of the latencies in milliseconds; 0 without latencies.
func (h histogram) quantile(q float64) float64 {
	return float64(h.ValueAtQuantile(100*q)) / 1000
}
