package adminapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// ErrorBody is the body of an answer with an error status.
type ErrorBody struct {
	Message string `json:"error"`
	Details any    `json:"more,omitempty"`
}

// WriteJSON answers a request with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

// WriteError answers a request with an error status and an ErrorBody.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, ErrorBody{Message: message})
}

// ReadJSON decodes the body of a request into the value that to points at, and reports whether it could. Unknown
// fields and further values are errors; an empty body is an empty object. After an error it has answered the request.
func ReadJSON(w http.ResponseWriter, r *http.Request, to any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(to)
	if errors.Is(err, io.EOF) {
		return true
	}
	if err == nil && decoder.More() {
		err = errors.New("more than one value")
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, "request body: "+err.Error())
		return false
	}
	return true
}
