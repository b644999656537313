package certificates

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

const (
	ticketKeySize = 32 // bytes
	maxTicketKeys = 8  // maximum number of keys in a file
)

// Tickets holds the keys for TLS session tickets, from a file that several nodes may share. The file has one key per
// line, as 64 hexadecimal digits. The first key encrypts, and all keys decrypt. Tickets is safe for concurrent use.
type Tickets struct {
	path string
	keys atomic.Pointer[[][ticketKeySize]byte]
}

// OpenTickets returns Tickets with the keys in the file at path.
func OpenTickets(path string) (*Tickets, error) {
	tickets := &Tickets{path: path}
	return tickets, tickets.Reload()
}

// Reload reads the file again. After an error, the current keys stay in use.
func (t *Tickets) Reload() error {
	keys, err := readTicketKeys(t.path)
	if err != nil {
		return err
	}
	t.keys.Store(&keys)
	return nil
}

// Keys returns the keys in use.
func (t *Tickets) Keys() [][ticketKeySize]byte { return *t.keys.Load() }

// Watch returns a watcher that reloads the keys when their file changes.
func (t *Tickets) Watch() *FileWatcher {
	files := func() []string { return []string{t.path} }
	reload := func(time.Time) (bool, error) { return false, t.Reload() }
	return newFileWatcher(t.path, files, reload)
}

func readTicketKeys(path string) ([][ticketKeySize]byte, error) {
	if err := checkOwnerOnly(path); err != nil {
		return nil, err
	}
	raw, err := readFile(path)
	if err != nil {
		return nil, err
	}
	var keys [][ticketKeySize]byte
	for i, line := range bytes.Split(bytes.TrimSpace(raw), []byte("\n")) {
		var key [ticketKeySize]byte
		if line = bytes.TrimSpace(line); len(line) != hex.EncodedLen(ticketKeySize) {
			return nil, fmt.Errorf("%s:%d: want 64 hexadecimal digits", path, i+1)
		}
		if _, err := hex.Decode(key[:], line); err != nil {
			return nil, fmt.Errorf("%s:%d: want 64 hexadecimal digits", path, i+1)
		}
		if keys = append(keys, key); len(keys) > maxTicketKeys {
			return nil, fmt.Errorf("%s: more than %d keys", path, maxTicketKeys)
		}
	}
	return keys, nil
}

// NextTicketKeys returns the keys after a rotation. The last key of current becomes the encrypting key, because all
// nodes have had time to load it. The other keys still decrypt, up to a maximum number of keys. fresh becomes the
// last key, which will encrypt after the next rotation.
func NextTicketKeys(current [][ticketKeySize]byte, fresh [ticketKeySize]byte) [][ticketKeySize]byte {
	if len(current) < 2 { // no other node has loaded the fresh key yet, so the fresh key must not encrypt
		return append(current[:len(current):len(current)], fresh)
	}
	last := len(current) - 1
	next := append([][ticketKeySize]byte{current[last]}, current[:last]...)
	return append(next[:min(len(next), maxTicketKeys/2)], fresh)
}

// RotateTickets atomically replaces the file at path with a file of the next keys. It creates a missing file.
func RotateTickets(path string) error {
	current, err := readTicketKeys(path)
	if errors.Is(err, os.ErrNotExist) {
		current = [][ticketKeySize]byte{newTicketKey()}
	} else if err != nil {
		return err
	}
	var text bytes.Buffer
	for _, key := range NextTicketKeys(current, newTicketKey()) {
		fmt.Fprintf(&text, "%x\n", key)
	}
	return writeSecret(path, text.Bytes())
}

func newTicketKey() (key [ticketKeySize]byte) {
	_, _ = rand.Read(key[:]) // documented to return no error
	return key
}

// writeSecret replaces a file atomically. The new file has mode 0600, the mode of files created by os.CreateTemp.
func writeSecret(path string, content []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), ".tickets-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(tmp.Name()) }() // fails after a successful rename: the file is gone
	_, err = tmp.Write(content)
	if err := errors.Join(err, tmp.Sync(), tmp.Close()); err != nil {
		return err
	}
	return os.Rename(tmp.Name(), path)
}
