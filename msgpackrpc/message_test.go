package msgpackrpc

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"os"
	"reflect"
	"regexp"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// TestEncoding_MatchesDocumentedExamples checks that the encoded examples in docs/msgpack-rpc.md match the encoder
// byte for byte, and can be decoded.
func TestEncoding_MatchesDocumentedExamples(t *testing.T) {
	page, err := os.ReadFile("../docs/msgpack-rpc.md")
	if err != nil {
		t.Fatal(err)
	}
	dumps := make(map[string][]byte)
	for _, m := range regexp.MustCompile("(?s)<!-- (\\w+) -->\n\n((?:    [^\n]*\n)+)").FindAllSubmatch(page, -1) {
		digits := regexp.MustCompile(`\|[^\n]*`).ReplaceAllString(string(m[2]), "")
		raw, err := hex.DecodeString(strings.Join(strings.Fields(digits), ""))
		if err != nil {
			t.Fatalf("dump %s of the documentation: %v", m[1], err)
		}
		dumps[string(m[1])] = raw
	}
	call := Call{
		ID: "a1", Class: "rezervacia", Tenant: "stol-nitra", Timeout: 1500 * time.Millisecond,
		Target: "/api", Body: []byte("{}"),
	}
	served := Reply{Body: []byte("ok"), ContentType: "text/plain"}
	refused := Reply{Code: Rejected, RetryAfter: 2 * time.Second}
	for name, want := range map[string][]byte{
		"call": AppendCall(nil, 1, &call), "served": AppendReply(nil, 1, &served),
		"refused": AppendReply(nil, 1, &refused), "cancel": AppendCancel(nil, 1), "drain": AppendDrain(nil),
	} {
		if !bytes.Equal(dumps[name], want) {
			t.Errorf("%s: the documentation has %x, want %x", name, dumps[name], want)
		}
	}
	if len(dumps) != 5 {
		t.Errorf("the documentation has %d dumps, want 5", len(dumps))
	}
	m, err := Parse(dumps["call"])
	if err != nil || m.Kind != Request || m.ID != 1 || m.Method != MethodCall {
		t.Fatalf("the documented call is parsed as %+v, error %v", m, err)
	}
	if got, err := ParseCall(m.Params); err != nil || !reflect.DeepEqual(got, call) {
		t.Errorf("the parameters of the documented call are decoded as %+v, error %v", got, err)
	}
	for name, want := range map[string]Reply{"served": served, "refused": refused} {
		m, err := Parse(dumps[name])
		if err != nil {
			t.Fatal(err)
		}
		if got, err := ParseReply(m); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("the documented reply %s is decoded as %+v, error %v", name, got, err)
		}
	}
	if m, err := Parse(dumps["cancel"]); err != nil || m.Method != MethodCancel {
		t.Errorf("the documented cancel is parsed as %+v, error %v", m, err)
	} else if id, ok := CancelledID(m); !ok || id != 1 {
		t.Errorf("the cancel is of msgid %d, %v, want 1", id, ok)
	}
}

// TestCall_RoundTrip checks that a decoded call equals the encoded call, even if the stream arrives byte by byte.
// Another MessagePack library must decode the same ID and body.
func TestCall_RoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 40, 400)
		var stream []byte
		var calls []Call
		for i := range rapid.IntRange(1, 5).Draw(t, "calls") {
			call := Call{
				ID: text.Draw(t, "id"), Class: text.Draw(t, "class"), Key: text.Draw(t, "key"),
				IsRetry: rapid.Bool().Draw(t, "retry"),
				Timeout: time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "wait")) * time.Millisecond,
				Body:    rapid.SliceOfN(rapid.Byte(), 1, 70_000).Draw(t, "body"),
			}
			raw := AppendCall(nil, uint32(i), &call)
			var other []any
			if err := msgpack.Unmarshal(raw, &other); err != nil {
				t.Fatal(err)
			}
			m := other[3].([]any)[0].(map[string]any)
			if got, _ := m["id"].(string); got != call.ID {
				t.Fatalf("the other library decodes ID %q, want %q", got, call.ID)
			}
			if got, _ := m["body"].([]byte); !bytes.Equal(got, call.Body) {
				t.Fatal("the other library decodes a different body")
			}
			stream, calls = append(stream, raw...), append(calls, call)
		}
		var from io.Reader = bytes.NewReader(stream)
		if rapid.Bool().Draw(t, "bytewise") && len(stream) < 2000 {
			from = iotest.OneByteReader(from)
		}
		r := NewReader(from)
		for i, want := range calls {
			raw, err := r.Next()
			if err != nil {
				t.Fatal(err)
			}
			m, err := Parse(raw)
			if err != nil || m.ID != uint32(i) {
				t.Fatalf("the message is parsed as %+v, error %v", m, err)
			}
			if got, err := ParseCall(m.Params); err != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("the call is decoded as %+v, error %v", got, err)
			}
		}
		if _, err := r.Next(); !errors.Is(err, io.EOF) {
			t.Fatalf("after the last message: got %v, want EOF", err)
		}
	})
}

// TestReader_RejectsHostileInput checks that input beyond the limits is rejected before memory is allocated for it.
func TestReader_RejectsHostileInput(t *testing.T) {
	longText := append([]byte{0xda, 4, 0}, make([]byte, 1024)...)
	deep := bytes.Repeat([]byte{0x91}, 10_000)
	for name, test := range map[string]struct {
		raw  []byte
		want string
	}{
		"an array of 4 billion":   {[]byte{0xdd, 0xff, 0xff, 0xff, 0xff}, "elements"},
		"a map of 2 billion":      {[]byte{0xdf, 0x80, 0, 0, 0}, "elements"},
		"10,000 levels":           {deep, "levels"},
		"a text of 4 GB":          {[]byte{0x94, 0, 1, 0xdb, 0xff, 0xff, 0xff, 0xff}, "bytes"},
		"bytes that never end":    {append([]byte{0x94, 0, 1, 0xc6, 0, 1, 0x7f, 0xff}, make([]byte, 200_000)...), "bytes"},
		"many texts":              {append([]byte{0xdc, 0, 200}, bytes.Repeat(longText, 200)...), "bytes"},
		"the reserved byte":       {[]byte{0xc1}, "0xc1"},
		"an extension of 4 GB":    {[]byte{0xc9, 0xff, 0xff, 0xff, 0xff, 1}, "bytes"},
		"the end within a text":   {[]byte{0x94, 0, 1, 0xa4, 'c'}, "unexpected EOF"},
		"the end within a length": {[]byte{0xdd, 0}, "unexpected EOF"},
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := NewReader(bytes.NewReader(test.raw)).Next()
		runtime.ReadMemStats(&after)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got %v, want %q", name, err, test.want)
		}
		if used := after.TotalAlloc - before.TotalAlloc; used > 4*MaxMessageSize {
			t.Errorf("%s: %d bytes were allocated", name, used)
		}
	}
}

// TestParse_InvalidMessages checks that the error for an invalid message names the invalid part.
func TestParse_InvalidMessages(t *testing.T) {
	encode := func(value any) []byte {
		raw, err := msgpack.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	for want, value := range map[string]any{
		"message: want an array":         7,
		"message: unknown type":          []any{3, 1, "call", []any{}},
		"got 3 elements, want 4":         []any{0, 1, "call"},
		"msgid":                          []any{0, "x", "call", []any{}},
		"method: want a text":            []any{0, 1, 5, []any{}},
		"params: want an array":          []any{0, 1, "call", map[string]any{}},
		"got 4 elements, want 3":         []any{2, 1, "cancel", []any{}},
		"an array of one map":            []any{0, 1, "call", []any{}},
		"params: want a map":             []any{0, 1, "call", []any{5}},
		"params.id: want a text":         []any{0, 1, "call", []any{map[string]any{"id": 5}}},
		"params.wait_ms: want a whole":   []any{0, 1, "call", []any{map[string]any{"wait_ms": -5}}},
		"params.retry: want true":        []any{0, 1, "call", []any{map[string]any{"retry": "yes"}}},
		"params.body: want bytes":        []any{0, 1, "call", []any{map[string]any{"body": 5}}},
		"params: want a text as name":    []any{0, 1, "call", []any{map[int]any{5: 5}}},
		"either an error or a result":    []any{1, 1, nil, nil},
		"needs either an error or a":     []any{1, 1, map[string]any{"code": "x"}, map[string]any{}},
		"error.code: missing":            []any{1, 1, map[string]any{}, nil},
		"result: want a map":             []any{1, 1, nil, 7},
		"error: want a map":              []any{1, 1, "bad", nil},
		"result.content_type: want a te": []any{1, 1, nil, map[string]any{"content_type": 7}},
	} {
		m, err := Parse(encode(value))
		if err == nil && m.Kind == Request {
			_, err = ParseCall(m.Params)
		} else if err == nil {
			_, err = ParseReply(m)
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: got %v, want %q", value, err, want)
		}
	}
	twice := append([]byte{0x94, 0, 1, 0xa4}, "call\x91\x82\xa2id\xa1a\xa2id\xa1b"...)
	if m, err := Parse(twice); err != nil {
		t.Error(err)
	} else if _, err := ParseCall(m.Params); err == nil || !strings.Contains(err.Error(), "params.id: given twice") {
		t.Errorf("a name that is given twice: got %v", err)
	}
	later := encode([]any{0, 1, "call", []any{map[string]any{"id": "a", "of_a_later_version": []any{1, 2}}}})
	if m, err := Parse(later); err != nil {
		t.Error(err)
	} else if c, err := ParseCall(m.Params); err != nil || c.ID != "a" {
		t.Errorf("a call with an unknown field is decoded as %+v, error %v", c, err)
	}
}

// FuzzMessages checks that no input makes the decoders panic. Each message must end at the same byte as with another
// MessagePack library.
func FuzzMessages(f *testing.F) {
	f.Add(AppendCall(nil, 1, &Call{ID: "a", Body: []byte("b")}))
	f.Add(AppendReply(nil, 1, &Reply{Code: Rejected}))
	f.Add(append(AppendCancel(nil, 1), AppendDrain(nil)...))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := NewReader(bytes.NewReader(raw))
		other := msgpack.NewDecoder(bytes.NewReader(raw))
		for {
			got, err := r.Next()
			if err != nil {
				return
			}
			if want, err := other.DecodeRaw(); err == nil && !bytes.Equal(got, want) {
				t.Fatalf("got the message %x, the other library decodes %x", got, want)
			}
			message, err := Parse(got)
			if err != nil {
				continue
			}
			if message.Kind == Request {
				if c, err := ParseCall(message.Params); err == nil {
					again, err := Parse(AppendCall(nil, message.ID, &c))
					if err != nil {
						t.Fatal(err)
					}
					if d, err := ParseCall(again.Params); err != nil || d.ID != c.ID || !bytes.Equal(d.Body, c.Body) {
						t.Fatalf("%+v is %+v after encoding and decoding, %v", c, d, err)
					}
				}
			}
			_, _ = ParseReply(message)
			_, _ = CancelledID(message)
		}
	})
}

// BenchmarkDecode compares the scanner, the decoder of this package, and another MessagePack library. The decoder of
// this package uses the library msgp.
func BenchmarkDecode(b *testing.B) {
	raw := AppendCall(nil, 7, &Call{
		ID: "9b1f03aa5c7e2d41", Class: "hladanie", Tenant: "stol-nitra", Timeout: time.Second,
		Target: "/api/x", Body: make([]byte, 200),
	})
	b.Run("scan", func(b *testing.B) {
		b.ReportAllocs()
		var s scanner
		for range b.N {
			if _, done, err := s.scan(raw); !done || err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("msgp", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			m, err := Parse(raw)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := ParseCall(m.Params); err != nil {
				b.Fatal(err)
			}
		}
	})
	type params struct {
		ID     string `msgpack:"id"`
		Class  string `msgpack:"class"`
		Tenant string `msgpack:"tenant"`
		Wait   uint64 `msgpack:"wait_ms"`
		Target string `msgpack:"target"`
		Body   []byte `msgpack:"body"`
	}
	type request struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library, by reflection
		Kind     uint8
		ID       uint32
		Method   string
		Params   []params
	}
	b.Run("vmihailenco", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			var q request
			if err := msgpack.Unmarshal(raw, &q); err != nil || q.Params[0].ID == "" {
				b.Fatal(err)
			}
		}
	})
}
