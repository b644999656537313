package msgpack

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"cobaltward/router"
)

// TestArrival_CallsInSeveralRecords guards against calls whose time begins when they are read instead of when they
// arrived: with TLS, each record is returned by a read of its own.
func TestArrival_CallsInSeveralRecords(t *testing.T) {
	const calls, gap = 4, 30 * time.Millisecond
	for _, withTLS := range []bool{false, true} {
		t.Run(fmt.Sprint("TLS ", withTLS), func(t *testing.T) {
			var mu sync.Mutex
			receivedAt := make(map[string]time.Time)
			stub := &stubEngine{do: func(_ context.Context, r router.Request) (router.Answer, error) {
				mu.Lock()
				defer mu.Unlock()
				receivedAt[r.ID] = r.ReceivedAt
				return router.Answer{Body: []byte(r.ID)}, nil
			}}
			server := startHookedServer(t, withTLS, stub, Config{}, func(*hookedConn) {})
			client := server.dial(t)
			conn := server.onlyConn()
			conn.mu.Lock() // the reader reads the first call and waits
			writtenAt := make(map[string]time.Time)
			for id := range uint32(calls) {
				client.call(t, 10+id)
				writtenAt[fmt.Sprint("r", 10+id)] = time.Now()
				time.Sleep(gap)
			}
			conn.mu.Unlock()
			for range calls {
				client.expect(t, " r")
			}
			for id, at := range writtenAt {
				if late := receivedAt[id].Sub(at); late > 0 {
					t.Errorf("the time of call %s begins %v after it was written", id, late)
				}
			}
		})
	}
}
