package adminapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// ErrorBody is the body of a response with an error status.
type ErrorBody struct {
	Message string `json:"error"`
	Details any    `json:"more,omitempty"`
}

// WriteJSON writes a response with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

// WriteError writes a response with an error status and an ErrorBody.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, ErrorBody{Message: message})
}

// ReadJSON decodes the body of a request into the value that to points to, and reports whether it succeeded. Unknown
// fields and additional values are errors. An empty body counts as an empty object. If ReadJSON returns false, it has
// written an error response.
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
