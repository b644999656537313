package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"cobaltward/internal/adminapi"
	"cobaltward/internal/testkit"
)

// TestDrainOnRequest_MessagePackClients checks that a drain through the admin API counts a MessagePack-RPC client and
// closes its idle connection. No client may connect until the drain is cancelled.
func TestDrainOnRequest_MessagePackClients(t *testing.T) {
	const timeout = 20 * time.Second
	node := &testNode{t: t, adminSocket: filepath.Join(t.TempDir(), "door.sock")}
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return listener
	}
	rpc, clients := listen(), listen()
	config := Config{
		Name: "n", Discovery: "127.0.0.1:9", Seed: 1, MaxDescriptors: 512, Settings: drainSettings(),
		AdminAPI: adminapi.Config{Socket: node.adminSocket}, Msgpack: Msgpack{Listener: rpc},
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, config, clients, nil, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		stop()
		if err := testkit.Receive(t, "the node's end", ended); err != nil {
			t.Error(err)
		}
	})
	dial := func() (net.Conn, error) { return net.DialTimeout("tcp", rpc.Addr().String(), timeout) }
	conn, err := dial()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	testkit.Await(t, "the client to be counted", func() bool { return node.status().Connections.Clients == 1 })

	if code, _ := node.callAdmin(http.MethodPost, "/drain", DrainRequest{Timeout: "4s"}); code != http.StatusAccepted {
		t.Fatalf("drain order: got status %d", code)
	}
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Fatalf("the idle connection is not closed: %v", err)
	}
	testkit.Await(t, "the listener to be closed", func() bool {
		again, err := dial()
		if err == nil {
			_ = again.Close()
		}
		return err != nil
	})
	if code, _ := node.callAdmin(http.MethodDelete, "/drain", DrainRequest{}); code != http.StatusOK {
		t.Fatalf("cancelling the drain: got status %d", code)
	}
	testkit.Await(t, "the listener to be open again", func() bool {
		again, err := dial()
		if err == nil {
			err = errors.Join(err, again.Close())
		}
		return err == nil
	})
}
