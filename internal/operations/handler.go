package operations

import (
	"net/http"
	"strconv"
)

// endpoint is the handler of one path, with the only method that the path accepts.
type endpoint struct {
	method string
	handle func(w http.ResponseWriter)
}

// newHandler returns the HTTP handler of the operations endpoint. Paths match exactly.
func newHandler(node Node) http.Handler {
	endpoints := map[string]endpoint{
		"/status":         {http.MethodGet, statusHandler(node)},
		"/status/metrics": {http.MethodGet, metricsHandler(node)},
		"/standby":        {http.MethodPut, commandHandler(node.Standby, "emptying the node")},
		"/active":         {http.MethodPut, commandHandler(node.Active, "back to work")},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		found, ok := endpoints[r.URL.Path]
		switch {
		case !ok:
			writeLine(w, http.StatusNotFound,
				"no such call: there are GET /status, GET /status/metrics, PUT /standby and PUT /active")
		case r.Method != found.method:
			w.Header().Set("Allow", found.method)
			writeLine(w, http.StatusMethodNotAllowed, r.URL.Path+" takes "+found.method)
		default:
			found.handle(w)
		}
	})
}

func statusHandler(node Node) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		if !node.Serving() {
			writeLine(w, http.StatusServiceUnavailable, "this process can't serve")
			return
		}
		writeLine(w, http.StatusOK, "serving")
	}
}

func metricsHandler(node Node) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		writeText(w, http.StatusOK, node.AppendMetrics(make([]byte, 0, 1024)))
	}
}

// commandHandler returns a handler that calls execute. If execute succeeds, the handler responds with the text done.
func commandHandler(execute func() error, done string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		if err := execute(); err != nil {
			writeLine(w, http.StatusConflict, err.Error())
			return
		}
		writeLine(w, http.StatusOK, done)
	}
}

// writeLine writes a response with a status and one line of text.
func writeLine(w http.ResponseWriter, status int, line string) {
	writeText(w, status, []byte(line+"\n"))
}

// writeText writes a response with a status and a text.
func writeText(w http.ResponseWriter, status int, text []byte) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text) // the client may have disconnected
}
