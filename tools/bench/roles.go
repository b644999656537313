package main

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltward/internal/node"
	"cobaltward/middleware"
	"cobaltward/router"
	"cobaltward/tools/internal/benchkit"
	"cobaltward/transport/http1"
)

const (
	stubCount = 8
	bodySize  = 512 // bytes of a stub server's response body
)

// runRole is the main function of a child process. The process runs this program in the given role.
func runRole(role string, args []string) error {
	switch role {
	case "as-stubs":
		return serveStubs(args[0])
	case "as-proxy":
		return serveProxy(args)
	case "as-middleware":
		return serveMiddleware(args[0])
	}
	return fmt.Errorf("unknown role %q", role)
}

// listen listens on a free port of 127.0.0.1, and prints the address for the parent process. The listener uses TLS if
// the command was started with -tls.
func listen() (net.Listener, error) {
	ln, err := benchkit.ListenLoopback()
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(os.Stderr, "address=%s\n", ln.Addr())
	if own, _ := certificates(); own != nil {
		conf := &tls.Config{Certificates: []tls.Certificate{*own}, NextProtos: []string{"http/1.1"}}
		ln = tls.NewListener(ln, conf)
	}
	return ln, nil
}

// serveStubs runs the stub servers. service is the delay of each response, in the format of time.ParseDuration. The
// servers use little CPU.
func serveStubs(service string) error {
	delay, err := time.ParseDuration(service)
	if err != nil {
		return err
	}
	response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		bodySize, strings.Repeat("x", bodySize))
	for range stubCount {
		ln, err := listen()
		if err != nil {
			return err
		}
		go benchkit.AcceptLoop(ln, func(conn net.Conn) { serveStub(conn, delay, response) })
	}
	select {} // blocks until the parent process ends this process
}

func serveStub(conn net.Conn, delay time.Duration, response []byte) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		time.Sleep(delay)
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// serveProxy runs httputil.ReverseProxy, which sends requests to the servers in rotation.
func serveProxy(servers []string) error {
	var next atomic.Uint64
	scheme, conf := "http", (*tls.Config)(nil)
	if _, roots := certificates(); roots != nil {
		scheme, conf = "https", &tls.Config{RootCAs: roots}
	}
	proxy := &httputil.ReverseProxy{
		Transport: &http.Transport{MaxIdleConnsPerHost: maxConns, DisableCompression: true, TLSClientConfig: conf},
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: scheme, Host: servers[next.Add(1)%uint64(len(servers))]})
		},
	}
	ln, err := listen()
	if err != nil {
		return err
	}
	return http.Serve(ln, proxy)
}

// serveMiddleware runs an application that embeds the middleware. If profile is not empty, it is the file for a CPU
// profile.
func serveMiddleware(profile string) (err error) {
	config, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	routerConfig := router.Config{
		Settings: config.Settings, Endpoints: config.InitialList.Endpoints, Seed: config.Seed,
	}
	engine, err := router.New(routerConfig,
		router.WithTransport(http1.New(http1.Config{ConnectTimeout: config.ConnectTimeout})),
		router.WithLogger(slog.New(slog.DiscardHandler)))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, engine.Close()) }()
	ln, err := listen()
	if err != nil {
		return err
	}
	if profile != "" {
		if err := profileUntilTerminated(profile); err != nil {
			return err
		}
	}
	return http.Serve(ln, middleware.New(engine).Handler(http.NotFoundHandler()))
}

// profileUntilTerminated starts a CPU profile. After SIGTERM, a goroutine completes the profile and exits the
// process.
func profileUntilTerminated(path string) error {
	stop, err := benchkit.StartCPUProfile(path)
	if err != nil {
		return err
	}
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	go func() { // exits the process after SIGTERM
		<-terminated
		benchkit.ExitOnError("bench", stop())
		os.Exit(0)
	}()
	return nil
}
