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

// Whatever room there is: a reader gets the body as it is; a second reader does, too, or is told that it can't; the
// budget is given back whole; and the last byte is told of exactly once.
func TestUploads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := make([]byte, rapid.IntRange(0, 5*ChunkSize).Draw(t, "size"))
		for i := range all {
			all[i] = byte(i * 7 >> 3)
		}
		budget := NewBudget(int64(rapid.IntRange(1, 6).Draw(t, "pieces")) * ChunkSize)
		var src io.Reader = bytes.NewReader(all)
		switch rapid.IntRange(0, 2).Draw(t, "source") {
		case 1:
			src = iotest.HalfReader(src)
		case 2:
			src = iotest.DataErrReader(src)
		}
		length := int64(len(all))
		if rapid.Bool().Draw(t, "untold") {
			length = -1
		}
		u := New(src, length, Limits{MaxLength: 1 << 30, MaxBuffered: int64(rapid.IntRange(1, 6).Draw(t, "hold")) * ChunkSize, Budget: budget})
		if err := u.FillBuffer(); err != nil {
			t.Fatal(err)
		}
		told := 0
		whole := u.OnComplete(func(time.Time) { told++ })
		for i := range 2 {
			r, err := u.Open()
			if errors.Is(err, router.ErrBodyConsumed) && i == 1 && u.Consumed() {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(r)
			if err != nil || !bytes.Equal(got, all) {
				t.Fatalf("reader %d: %d bytes of %d, %v", i, len(got), len(all), err)
			}
			if u.Length() >= 0 && u.Length() != int64(len(all)) {
				t.Fatalf("length %d", u.Length())
			}
		}
		if whole == (told == 1) || told > 1 || !u.Complete() || u.CompletedAt().IsZero() {
			t.Fatalf("whole at first: %v, told %d times", whole, told)
		}
		if short, ok := u.Bytes(1 << 20); ok == u.Consumed() || ok && !bytes.Equal(short, all) {
			t.Fatalf("short: %v, spent: %v", ok, u.Consumed())
		}
		u.Close(func() { t.Fatal("nobody reads") })
		if budget.Used() != 0 {
			t.Fatalf("%d bytes are not given back", budget.Used())
		}
	})
}

// A client that breaks off, within a piece or between two, or sends more than it may: that is no end.
func TestBrokenUploads(t *testing.T) {
	broken := errors.New("broken")
	for _, n := range []int{0, 100, ChunkSize, 2*ChunkSize + 1} {
		for _, hold := range []int64{0, 8 * ChunkSize} {
			budget := NewBudget(8 * ChunkSize)
			u := New(io.MultiReader(bytes.NewReader(make([]byte, n)), iotest.ErrReader(broken)), -1, Limits{MaxLength: 1 << 20, MaxBuffered: hold, Budget: budget})
			err := u.FillBuffer()
			if err == nil {
				r, openErr := u.Open()
				if openErr != nil {
					t.Fatal(openErr)
				}
				_, err = io.Copy(io.Discard, r)
			}
			if !errors.Is(err, broken) || u.Complete() {
				t.Errorf("after %d bytes, %d held: %v, whole %v", n, hold, err, u.Complete())
			}
			u.Close(func() {})
			if budget.Used() != 0 {
				t.Errorf("%d bytes are not given back", budget.Used())
			}
		}
	}
	u := New(bytes.NewReader(make([]byte, 3*ChunkSize)), -1, Limits{MaxLength: ChunkSize, MaxBuffered: ChunkSize, Budget: NewBudget(ChunkSize)})
	_ = u.FillBuffer()
	r, err := u.Open()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, r); !errors.Is(err, ErrTooLong) {
		t.Errorf("too long: %v", err)
	}
}

// Close while a reader waits for the client: the client's connection is hastened, and the reader ends.
func TestCloseWhileWaiting(t *testing.T) {
	in, out := io.Pipe()
	u := New(in, -1, Limits{MaxLength: 1 << 20, MaxBuffered: 0, Budget: NewBudget(ChunkSize)})
	r, err := u.Open()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := r.Read(make([]byte, 1))
		ended <- err
	}()
	for u.reading.TryLock() {
		u.reading.Unlock()
		time.Sleep(time.Millisecond)
	}
	u.Close(func() { out.CloseWithError(io.ErrClosedPipe) })
	if err := <-ended; err == nil {
		t.Error("the reader goes on")
	}
	if _, err := r.Read(make([]byte, 1)); !errors.Is(err, ErrClosed) {
		t.Errorf("after the close: %v", err)
	}
}
