package hoster

import (
	"encoding/json"
	"net/http"
)

// Problem is the JSON body of an error answer.
type Problem struct {
	Error string `json:"error"`
}

// WriteJSON answers with a status and a JSON body. A client that has gone away is not an error.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteProblem answers with an error status and its reason.
func WriteProblem(w http.ResponseWriter, status int, err error) {
	WriteJSON(w, status, Problem{Error: err.Error()})
}

// Abort cuts the connection of the request without an answer.
func Abort() {
	panic(http.ErrAbortHandler)
}
