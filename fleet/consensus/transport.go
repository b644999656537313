package consensus

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Headers of calls between replicas.
const (
	fromHeader    = "X-Fleet-From"    // ID of the sender, in hexadecimal
	addressHeader = "X-Fleet-Address" // under which the sender is reached
	epochHeader   = "X-Fleet-Epoch"   // of the sender's state, in decimal
)

const (
	messagePath = "/v1/log"

	maxPeerQueue    = 256      // messages to one replica that wait
	maxMessageBody  = 64 << 20 // bytes of a call between replicas: a snapshot has to fit
	maxStalePeers   = 8        // queues beyond those of the members, before the others are closed
	maxIgnoredBody  = 4096     // bytes of an answer that are read so that its connection can be used again
	maxIdlePeer     = 2        // idle connections to one replica
	peerTimeout     = 2 * time.Second
	snapshotTimeout = 30 * time.Second
	idlePeerTimeout = time.Minute
)

// transport sends messages to other replicas: one call at a time to each, from a queue of bounded length. What does
// not fit is dropped, since raft repeats lost messages. Its owner is the run goroutine of the replica.
type transport struct {
	replica *Replica
	client  *http.Client
	scheme  string
	peers   map[uint64]chan *raftpb.Message // queues, by ID
	senders sync.WaitGroup
	// addresses are those that messages came with, by ID: a replica may be called before its member is known.
	addresses sync.Map
}

func newTransport(replica *Replica) *transport {
	scheme := "http://"
	if replica.config.TLS != nil {
		scheme = "https://"
	}
	return &transport{
		replica: replica,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdlePeer,
			IdleConnTimeout:     idlePeerTimeout,
			DisableCompression:  true,
			TLSClientConfig:     replica.config.TLS,
		}},
		scheme: scheme,
		peers:  make(map[uint64]chan *raftpb.Message),
	}
}

// close ends all calls and waits for their goroutines.
func (t *transport) close() {
	for _, queue := range t.peers {
		close(queue)
	}
	t.senders.Wait()
	t.client.CloseIdleConnections()
}

// send queues messages.
func (t *transport) send(messages []*raftpb.Message) {
	core := t.replica.core
	for _, message := range messages {
		id := message.GetTo()
		select {
		case t.queue(id) <- message:
		default:
			core.ReportUnreachable(id)
			if message.GetType() == raftpb.MsgSnap {
				core.ReportSnapshot(id, false)
			}
		}
	}
	t.closeStalePeers()
}

// queue returns the queue to a replica.
func (t *transport) queue(id uint64) chan<- *raftpb.Message {
	queue := t.peers[id]
	if queue == nil {
		queue = make(chan *raftpb.Message, maxPeerQueue)
		t.peers[id] = queue
		t.senders.Go(func() { t.sendQueued(id, queue) })
	}
	return queue
}

// closeStalePeers ends the queues to replicas that are not members any more, once there are many of them.
func (t *transport) closeStalePeers() {
	core := t.replica.core
	members := core.State().Members
	for id, queue := range t.peers {
		_, isMember := members[id]
		if !isMember && id != core.ID() && len(t.peers) > len(members)+maxStalePeers {
			close(queue)
			delete(t.peers, id)
		}
	}
}

// sendQueued sends what a queue has until it is closed, several messages in one call where they wait, and reports to
// the core undelivered messages.
func (t *transport) sendQueued(id uint64, queue <-chan *raftpb.Message) {
	for first := range queue {
		batch := []*raftpb.Message{first}
		for len(batch) < maxBatch && len(queue) > 0 {
			batch = append(batch, <-queue)
		}
		body, hasSnapshot := encodeMessages(batch)
		timeout := peerTimeout
		if hasSnapshot {
			timeout = snapshotTimeout
		}
		err := t.post(id, body, timeout)
		report := &raftpb.Message{From: proto.Uint64(id)}
		switch {
		case hasSnapshot:
			report.Type, report.Reject = raftpb.MsgSnapStatus.Enum(), proto.Bool(err != nil)
		case err != nil:
			report.Type = raftpb.MsgUnreachable.Enum()
		default:
			continue
		}
		select {
		case t.replica.inbox <- report:
		default: // the core finds out by itself
		}
	}
}

// encodeMessages returns messages as the body of a call: each preceded by its length, as an unsigned varint.
func encodeMessages(messages []*raftpb.Message) (body []byte, hasSnapshot bool) {
	for _, message := range messages {
		if message == nil { // of a queue that was closed meanwhile
			continue
		}
		raw, err := proto.Marshal(message)
		if err != nil {
			continue
		}
		hasSnapshot = hasSnapshot || message.GetType() == raftpb.MsgSnap
		body = append(binary.AppendUvarint(body, uint64(len(raw))), raw...)
	}
	return body, hasSnapshot
}

// decodeMessage returns the first message of a body, and what follows it.
func decodeMessage(body []byte) (message *raftpb.Message, rest []byte, err error) {
	size, used := binary.Uvarint(body)
	if used <= 0 || size > uint64(len(body)-used) {
		return nil, nil, fmt.Errorf("decoding a message: the body ends within it, %d bytes before the end", len(body))
	}
	end := used + int(size)
	message = new(raftpb.Message)
	if err := proto.Unmarshal(body[used:end], message); err != nil {
		return nil, nil, fmt.Errorf("decoding a message: %w", err)
	}
	return message, body[end:], nil
}

// learnAddress records the address that messages of a replica come with.
func (t *transport) learnAddress(id uint64, address string) { t.addresses.Store(id, address) }

// address returns where a replica is reached; empty if that is unknown.
func (t *transport) address(id uint64) string {
	address := ""
	if member, ok := t.replica.View().State.Members[id]; ok {
		address = member.Address
	} else if learned, ok := t.addresses.Load(id); ok {
		address = learned.(string)
	}
	if override := t.replica.config.AddressOverrides[address]; override != "" {
		return override
	}
	return address
}

// post sends a body to a replica, unless the replica of this process ends before.
func (t *transport) post(id uint64, body []byte, timeout time.Duration) error {
	address := t.address(id)
	if address == "" {
		return fmt.Errorf("consensus: sending to replica %x: its address is unknown", id)
	}
	ctx, cancel := context.WithTimeout(t.replica.ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.scheme+address+messagePath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("consensus: sending to replica %x: %w", id, err)
	}
	request.Header.Set("Authorization", "Bearer "+t.replica.config.AuthToken)
	request.Header.Set(fromHeader, strconv.FormatUint(t.replica.core.ID(), 16))
	request.Header.Set(addressHeader, t.replica.config.Address)
	request.Header.Set(epochHeader, strconv.FormatUint(t.replica.View().State.Epoch, 10))
	response, err := t.client.Do(request)
	if err != nil {
		return fmt.Errorf("consensus: sending to replica %x: %w", id, err)
	}
	defer func() { _ = response.Body.Close() }() // nothing more is read
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxIgnoredBody))
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("consensus: sending to replica %x: it answers %s", id, response.Status)
	}
	return nil
}
