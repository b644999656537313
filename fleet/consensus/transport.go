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
	addressHeader = "X-Fleet-Address" // address at which the sender is reached
	epochHeader   = "X-Fleet-Epoch"   // epoch of the sender's state, in decimal
)

const (
	messagePath = "/v1/log"

	maxPeerQueue    = 256      // maximum messages queued for one replica
	maxMessageBody  = 64 << 20 // maximum bytes of a body, which may carry a snapshot
	maxStalePeers   = 8        // maximum surplus of queues over members; above it, queues of non-members are closed
	maxIgnoredBody  = 4096     // maximum bytes of a response that are discarded to reuse its connection
	maxIdlePeer     = 2        // maximum idle connections to one replica
	peerTimeout     = 2 * time.Second
	snapshotTimeout = 30 * time.Second
	idlePeerTimeout = time.Minute
)

// transport sends messages to other replicas from bounded queues, one call at a time to each replica. Messages that
// exceed a queue are dropped, because raft repeats lost messages. Only the run goroutine of the replica may call send
// and close.
type transport struct {
	replica *Replica
	client  *http.Client
	scheme  string
	peers   map[uint64]chan *raftpb.Message // queues of messages, by ID of the receiver
	senders sync.WaitGroup
	// addresses maps replica IDs to the addresses that senders of messages have given. The transport needs these
	// addresses to call a replica that is not in the state's members yet.
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

// close closes all queues, and waits until the sender goroutines end.
func (t *transport) close() {
	for _, queue := range t.peers {
		close(queue)
	}
	t.senders.Wait()
	t.client.CloseIdleConnections()
}

// send queues messages for their receivers. It reports each message that exceeds its queue to the core as
// undelivered.
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

// queue returns the queue of messages to the replica with the given ID. It creates the queue and its sender goroutine
// if there is none.
func (t *transport) queue(id uint64) chan<- *raftpb.Message {
	queue := t.peers[id]
	if queue == nil {
		queue = make(chan *raftpb.Message, maxPeerQueue)
		t.peers[id] = queue
		t.senders.Go(func() { t.sendQueued(id, queue) })
	}
	return queue
}

// closeStalePeers closes queues to replicas that are not members while the queues outnumber the members by more than
// maxStalePeers.
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

// sendQueued sends the messages of queue to the replica with the given ID until queue is closed. Waiting messages are
// sent together in one call. Undelivered messages are reported to the core.
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
		default: // the inbox is full; raft detects the loss itself
		}
	}
}

// encodeMessages encodes messages as the body of a call. Each message is preceded by its length as an unsigned
// varint. hasSnapshot reports whether the body has a snapshot.
func encodeMessages(messages []*raftpb.Message) (body []byte, hasSnapshot bool) {
	for _, message := range messages {
		if message == nil { // received from a queue after it was closed
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

// decodeMessage returns the first message of a body and the rest of the body.
func decodeMessage(body []byte) (message *raftpb.Message, rest []byte, err error) {
	size, used := binary.Uvarint(body)
	if used <= 0 || size > uint64(len(body)-used) {
		return nil, nil, fmt.Errorf("decoding a message: it is truncated: only %d bytes of the body are left", len(body))
	}
	end := used + int(size)
	message = new(raftpb.Message)
	if err := proto.Unmarshal(body[used:end], message); err != nil {
		return nil, nil, fmt.Errorf("decoding a message: %w", err)
	}
	return message, body[end:], nil
}

// learnAddress records the address that the replica with the given ID has sent in its messages.
func (t *transport) learnAddress(id uint64, address string) { t.addresses.Store(id, address) }

// address returns the address of the replica with the given ID; empty if the address is unknown.
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

// post sends a body to the replica with the given ID. The call is canceled when the replica of this process stops.
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
	defer func() { _ = response.Body.Close() }() // nothing more is read, so the error does not matter
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxIgnoredBody))
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("consensus: sending to replica %x: unexpected status %s", id, response.Status)
	}
	return nil
}
