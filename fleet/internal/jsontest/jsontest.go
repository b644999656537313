// Package jsontest checks stored and transmitted JSON in the tests of several fleet packages. Only tests may import
// it.
package jsontest

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
)

// RoundTrip decodes raw into the value that to points to, and encodes that value again. It fails the test if the two
// encodings differ in more than white space, or if raw has fields that the value lacks.
func RoundTrip(t testing.TB, raw []byte, to any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(to); err != nil {
		t.Fatalf("decoding %s: %v", raw, err)
	}
	encoded, err := json.Marshal(to)
	if err != nil {
		t.Fatalf("encoding %+v: %v", to, err)
	}
	var want bytes.Buffer
	if err := json.Compact(&want, raw); err != nil {
		t.Fatal(err)
	}
	if got := string(encoded); got != want.String() {
		t.Errorf("%s is encoded again as %s", want.String(), got)
	}
}

// ReadMessages reads a JSON file whose top-level object maps names to messages.
func ReadMessages(t testing.TB, path string) map[string]json.RawMessage {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	messages := make(map[string]json.RawMessage)
	if err := json.Unmarshal(raw, &messages); err != nil {
		t.Fatalf("decoding %s: %v", path, err)
	}
	return messages
}
