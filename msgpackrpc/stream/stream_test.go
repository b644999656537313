package stream

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"cobaltward/msgpackrpc"
)

func TestSignal_MergesNotifications(t *testing.T) {
	signal := NewSignal()
	signal.Notify()
	signal.Notify()
	<-signal
	select {
	case <-signal:
		t.Error("two notifications were received, want one")
	default:
	}
}

func TestReadMessages_StopsAtError(t *testing.T) {
	drain := msgpackrpc.AppendDrain(nil)
	errStop := errors.New("stop")
	for name, test := range map[string]struct {
		stream  []byte
		handled int
		want    func(error) bool
	}{
		"end of stream": {append(bytes.Clone(drain), drain...), 2, func(err error) bool { return errors.Is(err, io.EOF) }},
		"not a message": {append(bytes.Clone(drain), 0x07), 1, func(err error) bool {
			return errors.As(err, new(*msgpackrpc.ProtocolError))
		}},
		"handler fails": {bytes.Repeat(drain, 4), 3, func(err error) bool { return errors.Is(err, errStop) }},
	} {
		handled := 0
		err := ReadMessages(msgpackrpc.NewReader(bytes.NewReader(test.stream)), func(m msgpackrpc.Message) error {
			if m.Method != msgpackrpc.MethodDrain {
				t.Errorf("%s: got method %q", name, m.Method)
			}
			if handled++; handled == 3 {
				return errStop
			}
			return nil
		})
		if !test.want(err) || handled != test.handled {
			t.Errorf("%s: handled %d messages, then got %v; want %d messages", name, handled, err, test.handled)
		}
	}
}

func TestRecycle_DropsLargeBuffers(t *testing.T) {
	if buf := Recycle(make([]byte, 10, 2*MaxBatch)); len(buf) != 0 || cap(buf) != 2*MaxBatch {
		t.Errorf("got %d of %d bytes, want the buffer, emptied", len(buf), cap(buf))
	}
	if buf := Recycle(make([]byte, 0, 2*MaxBatch+1)); buf != nil {
		t.Error("a large buffer was kept")
	}
}
