package cli

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

const (
	unreadAnswerSize = 300_000         // bytes
	unreadAnswerTime = 8 * time.Second // time in which the client reads the answer
	unreadPieces     = 100             // number of reads
	copyInterval     = 250 * time.Millisecond
)

// readSlowly reads an answer of unreadAnswerSize in unreadAnswerTime. It returns an error if the answer is incomplete.
func readSlowly(body io.Reader) error {
	piece := make([]byte, unreadAnswerSize/unreadPieces)
	pieces := time.NewTicker(unreadAnswerTime / unreadPieces)
	defer pieces.Stop()
	for range unreadPieces {
		if _, err := io.ReadFull(body, piece); err != nil {
			return err
		}
		<-pieces.C
	}
	return nil
}

// TestHotRestart_UnreadAnswer guards against a second run of a request whose client is still reading the answer when
// the process that has written it ends: a copy of the request then reaches the successor, which must reject the ID.
func TestHotRestart_UnreadAnswer(t *testing.T) {
	var executions atomic.Int64
	node, address := newNodeUnderTest(t, testkit.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		executions.Add(1)
		w.Header().Set("Content-Length", strconv.Itoa(unreadAnswerSize))
		_, _ = w.Write(make([]byte, unreadAnswerSize))
	}))
	setPayDeadline(t, node, payDeadline)
	predecessor := node.start()
	client := testkit.DialSlowReader(t, address)
	sentAt := time.Now()
	_, _ = fmt.Fprintf(client, payRequest, "unread", payDeadline.Milliseconds(), "")
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	received := make(chan error, 1)
	go func() { received <- readSlowly(response.Body) }()
	successor := node.start()
	terminated := make(chan struct{})
	go func() {
		defer close(terminated)
		predecessor.terminate(t)
	}()
	copies := time.NewTicker(copyInterval)
	defer copies.Stop()
	for answered := false; !answered && !t.Failed(); {
		select {
		case err := <-received:
			answered = true
			if err != nil {
				t.Errorf("the client has not received the answer: %v", err)
			}
		case <-copies.C:
			if status := exchangeOnce(address, "unread"); status != http.StatusConflict {
				t.Errorf("a copy %v after the request got status %d, want 409; %d executions",
					time.Since(sentAt).Round(time.Millisecond), status, executions.Load())
			}
		}
	}
	<-terminated
	successor.terminate(t)
}
