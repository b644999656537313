package cli

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"

	"cobaltward/internal/adminapi"
	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
	"cobaltward/internal/sockets"
)

// Environment variables that the platform sets.
const (
	configVariable            = "ROUTER_CONFIG"    // path of the platform's configuration
	inheritedListenerVariable = "ROUTER_ACCEPT_FD" // file descriptor of the listening socket for clients
)

// listenForClients returns the listener for clients. If the platform passes a listening socket to the process, the
// listener uses that socket. Otherwise it listens on the configured address.
func listenForClients(config *node.Config, getenv func(string) string) (net.Listener, error) {
	descriptor := getenv(inheritedListenerVariable)
	if descriptor == "" {
		listener, err := net.Listen("tcp", config.Listen)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return listener, nil
	}
	listener, err := sockets.InheritedListener(descriptor)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", inheritedListenerVariable, err)
	}
	config.SharedListener = true
	return listener, nil
}

// adminAPIConfig returns the configuration of the admin API. It reads the bearer token from the token's file.
func adminAPIConfig(options nodeconfig.AdminAPI) (adminapi.Config, error) {
	config := adminapi.Config{Socket: options.Socket, Listen: options.Listen}
	if options.TokenFile == "" {
		return config, nil
	}
	var err error
	if config.Token, err = nodeconfig.ReadToken(options.TokenFile); err != nil {
		return config, fmt.Errorf("door.token_file: %w", err)
	}
	return config, nil
}

// openMsgpack returns the configuration of MessagePack-RPC, with an open listener if an address is configured.
func openMsgpack(options nodeconfig.Msgpack) (node.Msgpack, error) {
	config := node.Msgpack{
		MaxConns:        options.MaxConns,
		MaxCallsPerConn: options.MaxCallsPerConn,
		ServerKinds:     options.ServerKinds,
	}
	if options.Listen == "" {
		return config, nil
	}
	network := networkOf(options.Listen)
	if network == "unix" {
		if err := removeStaleSocket(options.Listen); err != nil {
			return config, fmt.Errorf("msgpack.listen: %w", err)
		}
	}
	listener, err := net.Listen(network, options.Listen)
	if err != nil {
		return config, fmt.Errorf("msgpack.listen: %w", err)
	}
	config.Listener = listener
	return config, nil
}

// networkOf returns the network of address for net.Listen and net.Dial. The network is unix for an absolute path, and
// tcp otherwise.
func networkOf(address string) string {
	if strings.HasPrefix(address, "/") {
		return "unix"
	}
	return "tcp"
}

// removeStaleSocket removes the file of a Unix socket on which no process listens. It returns an error if a process
// listens on the socket.
func removeStaleSocket(path string) error {
	conn, err := net.Dial("unix", path)
	if err == nil {
		_ = conn.Close()
		return fmt.Errorf("%s: another process listens there", path)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		_ = os.Remove(path) // if the removal fails, net.Listen returns an error
	}
	return nil
}
