package msgpack

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/msgpackrpc"
	"cobaltward/router"
)

// TestPacing_AnswersInTime guards against a backlog of calls on a paced connection: a client that makes many calls
// which no server answers must get each answer in time.
func TestPacing_AnswersInTime(t *testing.T) {
	const calls, rate = 800, 400 // per second
	for _, front := range fronts {
		t.Run(front, func(t *testing.T) {
			t.Parallel()
			stub := &stubEngine{do: func(context.Context, router.Request) (router.Answer, error) {
				return router.Answer{Outcome: router.Overloaded}, nil
			}}
			client := startFront(t, front, stub, Config{}).connect(t)
			var written [calls]atomic.Int64 // unix nanoseconds, by msgid
			done := make(chan struct{})
			var latest time.Duration
			go func() {
				defer close(done)
				for range calls {
					frame, err := client.in.Next()
					message, parseErr := msgpackrpc.Parse(frame)
					if err != nil || parseErr != nil {
						t.Error(err, parseErr)
						return
					}
					latest = max(latest, time.Since(time.Unix(0, written[message.ID].Load())))
				}
			}()
			began := time.Now()
			for id := range uint32(calls) {
				time.Sleep(time.Until(began.Add(time.Duration(id) * time.Second / rate)))
				written[id].Store(time.Now().UnixNano())
				client.send(t, appendCall(nil, id, "read", time.Millisecond))
			}
			<-done
			if latest > maxLateness {
				t.Errorf("the latest answer came %v after its call was written, want %v at most", latest, maxLateness)
			}
		})
	}
}
