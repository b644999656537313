package handshakes

import (
	"slices"
	"time"
)

// DefaultCPUShare is the part of a core that the arithmetic of handshakes takes at most while requests are in flight.
const DefaultCPUShare = 0.25

// maxPause bounds the rest behind one piece of arithmetic: a clock that jumped, or a host that kept the process from
// running, must not stop handshakes.
const maxPause = 50 * time.Millisecond

// Task is one piece of arithmetic, from a read to the next.
type Task struct {
	Urgent bool // a request in flight waits for it: it goes ahead, and behind it there is no rest

	running bool
}

// CPUBudget shares a core between the arithmetic of handshakes and all else: as many pieces at a time as there are cores,
// and behind each that no request waits for a rest as long as the share wants while requests are in flight. It isn't
// safe for concurrent use.
type CPUBudget struct {
	share   float64
	cores   int
	running    int
	pauseUntil    time.Duration // until then nothing begins that no request waits for, while requests are in flight
	queues [2][]*Task   // the urgent ones, and the others; each in the order of their coming
	finished   uint64
	busyTime    time.Duration
}

// NewCPUBudget returns one for a share of so many cores; 0 is the default share.
func NewCPUBudget(share float64, cores int) *CPUBudget {
	if !(share > 0 && share <= 1) {
		share = DefaultCPUShare
	}
	return &CPUBudget{share: share, cores: max(1, cores)}
}

func (p *CPUBudget) queueOf(x *Task) *[]*Task {
	if x.Urgent {
		return &p.queues[0]
	}
	return &p.queues[1]
}

// Enqueue has a piece wait for its turn, which Next tells.
func (p *CPUBudget) Enqueue(x *Task) {
	line := p.queueOf(x)
	*line = append(*line, x)
}

// Next is the pieces whose turn it is; inFlight says that requests would wait for them. Where wait is not 0, it is to
// be asked again after it.
func (p *CPUBudget) Next(now time.Duration, inFlight bool) (begin []*Task, wait time.Duration) {
	for i := range p.queues {
		for line := &p.queues[i]; len(*line) > 0 && p.running < p.cores; {
			if i > 0 && inFlight && now < p.pauseUntil {
				return begin, p.pauseUntil - now
			}
			x := (*line)[0]
			(*line)[0], *line = nil, (*line)[1:]
			x.running = true
			p.running++
			begin = append(begin, x)
		}
	}
	return begin, 0
}

// Finish gives the core back, after a piece that took so long.
func (p *CPUBudget) Finish(now time.Duration, x *Task, took time.Duration) {
	if !x.running {
		return
	}
	x.running = false
	p.running--
	took = max(0, took)
	p.finished++
	p.busyTime += took
	if !x.Urgent {
		p.pauseUntil = now + min(maxPause, time.Duration(float64(took)*(1/p.share-1)/float64(p.cores)))
	}
}

// Cancel takes out a piece that nobody waits for any more. begun tells that its turn had come: End is due.
func (p *CPUBudget) Cancel(x *Task) (begun bool) {
	line := p.queueOf(x)
	*line = slices.DeleteFunc(*line, func(y *Task) bool { return x == y })
	return x.running
}

const (
	// maxActiveClients is how many handshakes of clients are worked on at once: so many keep a core at work, and more would only come
	// to it together, ahead of requests.
	maxActiveClients = 4
	maxWaitingFraction   = 0.25 // of the clients' connections, for handshakes that wait for their client
	// SilentAfter is when a client that is waited for counts as one that may be far away, or say nothing.
	SilentAfter = 20 * time.Millisecond
)

// AdmitClient tells whether another client may be let in, beside so many handshakes that the core has to work on and so many
// that wait for their client, of most connections: clients far away, or who stall, hold nobody up until they are many.
// Those who are not wait outside: to close one that goes on in favour of the next would have each begun and none ended.
// crowded says that those who wait for their client are in the way: to close one of them makes room.
func AdmitClient(active, waiting, most int) (admit, crowded bool) {
	crowded = waiting >= max(maxActiveClients, int(maxWaitingFraction*float64(most)))
	return active < maxActiveClients && !crowded, crowded
}

// Totals is how many pieces there were, and the time of them all.
func (p *CPUBudget) Totals() (pieces uint64, all time.Duration) { return p.finished, p.busyTime }
