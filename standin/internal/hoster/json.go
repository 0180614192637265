package hoster

import (
	"encoding/json"
	"net/http"
)

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// WriteJSON writes a response with a status and a JSON body. Errors are ignored, as the client may have disconnected.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError writes a response with an error status and the error's text.
func WriteError(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, ErrorResponse{Error: err.Error()})
}

// Abort closes the connection of the request without a response.
func Abort() {
	panic(http.ErrAbortHandler)
}
