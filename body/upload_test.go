package body

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"cobaltward/router"

	"pgregory.net/rapid"
)

// drawUpload returns an upload with random limits, length and source, and the content of its body.
func drawUpload(t *rapid.T) (upload *Upload, content []byte) {
	content = make([]byte, rapid.IntRange(0, 5*ChunkSize).Draw(t, "size"))
	for i := range content {
		content[i] = byte(i * 7 >> 3)
	}
	budget := NewBudget(int64(rapid.IntRange(1, 6).Draw(t, "chunks")) * ChunkSize)
	var source io.Reader = bytes.NewReader(content)
	switch rapid.IntRange(0, 2).Draw(t, "source") {
	case 1:
		source = iotest.HalfReader(source)
	case 2:
		source = iotest.DataErrReader(source)
	}
	length := int64(len(content))
	if rapid.Bool().Draw(t, "unknown length") {
		length = -1
	}
	maxBuffered := int64(rapid.IntRange(1, 6).Draw(t, "buffered")) * ChunkSize
	return New(source, length, Limits{MaxLength: 1 << 30, MaxBuffered: maxBuffered, Budget: budget}), content
}

// TestUpload_AnyBudget checks that a body can be read twice if the random budget allows it. The first reader must get
// the whole body. The second reader must get the whole body or router.ErrBodyConsumed. Either OnComplete reports a
// complete body, or the registered function is called exactly once. Close must release the budget.
func TestUpload_AnyBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upload, content := drawUpload(t)
		if err := upload.FillBuffer(); err != nil {
			t.Fatal(err)
		}
		notified := 0
		completeAtFirst := upload.OnComplete(func(time.Time) { notified++ })
		readTwice(t, upload, content)
		if completeAtFirst == (notified == 1) || notified > 1 || !upload.Complete() || upload.CompletedAt().IsZero() {
			t.Fatalf("complete before the first read: %v, notified %d times", completeAtFirst, notified)
		}
		all, ok := upload.Bytes(1 << 20)
		if ok == upload.Consumed() || ok && !bytes.Equal(all, content) {
			t.Fatalf("Bytes returned the body: %v (as sent or not), consumed: %v", ok, upload.Consumed())
		}
		upload.Close(func() { t.Fatal("Close called interrupt, though the source is not being read") })
		if used := upload.budget.Used(); used != 0 {
			t.Fatalf("%d bytes of the budget are not released", used)
		}
	})
}

// readTwice checks that two readers get the content. The second reader may fail if the body is consumed.
func readTwice(t *rapid.T, upload *Upload, content []byte) {
	for i := range 2 {
		r, err := upload.Open()
		if errors.Is(err, router.ErrBodyConsumed) && i == 1 && upload.Consumed() {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(r)
		if err != nil || !bytes.Equal(got, content) {
			t.Fatalf("reader %d got %d bytes of %d (or wrong ones), error %v", i, len(got), len(content), err)
		}
		if upload.Length() >= 0 && upload.Length() != int64(len(content)) {
			t.Fatalf("Length is %d, want the length of the content", upload.Length())
		}
	}
}

// TestUpload_SourceBreaksOff checks that a source that fails within a chunk or between two chunks is not mistaken for
// the end of the body.
func TestUpload_SourceBreaksOff(t *testing.T) {
	errBroken := errors.New("broken")
	for _, n := range []int{0, 100, ChunkSize, 2*ChunkSize + 1} {
		for _, maxBuffered := range []int64{0, 8 * ChunkSize} {
			budget := NewBudget(8 * ChunkSize)
			source := io.MultiReader(bytes.NewReader(make([]byte, n)), iotest.ErrReader(errBroken))
			upload := New(source, -1, Limits{MaxLength: 1 << 20, MaxBuffered: maxBuffered, Budget: budget})
			err := upload.FillBuffer()
			if err == nil {
				err = discard(t, upload)
			}
			if !errors.Is(err, errBroken) || upload.Complete() {
				t.Errorf("source failed after %d bytes, MaxBuffered %d: error %v, complete %v",
					n, maxBuffered, err, upload.Complete())
			}
			upload.Close(func() {})
			if used := budget.Used(); used != 0 {
				t.Errorf("%d bytes of the budget are not released", used)
			}
		}
	}
}

// TestUpload_TooLong checks that a body that exceeds MaxLength in its unbuffered part fails with ErrTooLong.
func TestUpload_TooLong(t *testing.T) {
	limits := Limits{MaxLength: ChunkSize, MaxBuffered: ChunkSize, Budget: NewBudget(ChunkSize)}
	upload := New(bytes.NewReader(make([]byte, 3*ChunkSize)), -1, limits)
	_ = upload.FillBuffer()
	if err := discard(t, upload); !errors.Is(err, ErrTooLong) {
		t.Errorf("got error %v, want ErrTooLong", err)
	}
}

// discard reads the whole body and returns the read error.
func discard(t *testing.T, upload *Upload) error {
	t.Helper()
	r, err := upload.Open()
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.Copy(io.Discard, r)
	return err
}

// TestClose_WhileReading checks that Close interrupts a reader that waits for the client, and that later reads fail.
func TestClose_WhileReading(t *testing.T) {
	in, out := io.Pipe()
	upload := New(in, -1, Limits{MaxLength: 1 << 20, MaxBuffered: 0, Budget: NewBudget(ChunkSize)})
	r, err := upload.Open()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := r.Read(make([]byte, 1))
		ended <- err
	}()
	for upload.reading.TryLock() {
		upload.reading.Unlock()
		time.Sleep(time.Millisecond)
	}
	upload.Close(func() { _ = out.CloseWithError(io.ErrClosedPipe) })
	if err := <-ended; err == nil {
		t.Error("the interrupted read returned no error")
	}
	if _, err := r.Read(make([]byte, 1)); !errors.Is(err, ErrClosed) {
		t.Errorf("read after Close: error %v, want ErrClosed", err)
	}
}
