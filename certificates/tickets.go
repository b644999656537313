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
)

const (
	ticketKey  = 32 // bytes
	mostTicket = 8  // keys in a file
)

// Tickets are the keys that sessions of clients are sealed with, from a file that nodes may share: a line of 64
// hexadecimal digits each. The first seals; all open. Its methods may be called at once from many goroutines.
type Tickets struct {
	file string
	now  atomic.Pointer[[][ticketKey]byte]
}

// OpenTickets reads the file for the first time.
func OpenTickets(file string) (*Tickets, error) {
	t := &Tickets{file: file}
	return t, t.Reload()
}

// Reload reads the file again; on an error the former keys go on.
func (t *Tickets) Reload() error {
	all, err := readTickets(t.file)
	if err != nil {
		return err
	}
	t.now.Store(&all)
	return nil
}

// Keys are those in force.
func (t *Tickets) Keys() [][ticketKey]byte { return *t.now.Load() }

func readTickets(file string) ([][ticketKey]byte, error) {
	if err := closed(file); err != nil {
		return nil, err
	}
	raw, err := read(file)
	if err != nil {
		return nil, err
	}
	var all [][ticketKey]byte
	for i, line := range bytes.Split(bytes.TrimSpace(raw), []byte("\n")) {
		var k [ticketKey]byte
		if line = bytes.TrimSpace(line); len(line) != hex.EncodedLen(ticketKey) {
			return nil, fmt.Errorf("%s:%d: want 64 hexadecimal digits", file, i+1)
		}
		if _, err := hex.Decode(k[:], line); err != nil {
			return nil, fmt.Errorf("%s:%d: want 64 hexadecimal digits", file, i+1)
		}
		if all = append(all, k); len(all) > mostTicket {
			return nil, fmt.Errorf("%s: more than %d keys", file, mostTicket)
		}
	}
	return all, nil
}

// NextTicketKeys is the keys that come after these: the last of them, which every node has had time to learn of, seals
// from now on, the one before goes on opening, and a fresh one is there for the next time.
func NextTicketKeys(were [][ticketKey]byte, fresh [ticketKey]byte) [][ticketKey]byte {
	if len(were) < 2 { // nobody knows the fresh one yet, so it must not seal
		return append(were[:len(were):len(were)], fresh)
	}
	last := len(were) - 1
	next := append([][ticketKey]byte{were[last]}, were[:last]...)
	return append(next[:min(len(next), mostTicket/2)], fresh)
}

// RotateTickets makes the file, or puts the next keys in it, whole.
func RotateTickets(file string) error {
	were, err := readTickets(file)
	if errors.Is(err, os.ErrNotExist) {
		were = make([][ticketKey]byte, 1)
		_, _ = rand.Read(were[0][:]) // never fails
	} else if err != nil {
		return err
	}
	var fresh [ticketKey]byte
	_, _ = rand.Read(fresh[:])
	var text bytes.Buffer
	for _, k := range NextTicketKeys(were, fresh) {
		fmt.Fprintf(&text, "%x\n", k)
	}
	tmp, err := os.CreateTemp(filepath.Dir(file), ".tickets-*") // of mode 0600
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name()) // it is gone where all went well
	_, err = tmp.Write(text.Bytes())
	if err := errors.Join(err, tmp.Sync(), tmp.Close()); err != nil {
		return err
	}
	return os.Rename(tmp.Name(), file)
}
