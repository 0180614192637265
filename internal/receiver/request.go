package receiver

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/isolator"
)

// acceptRequest authenticates a request, reads its body and sets the fields that all kinds of work have in common.
// findWork looks up the work of the request in the catalogue. It runs after authentication, so that an unknown caller
// learns nothing about the catalogue. The returned request is never nil, even if it is refused.
func (r *Receiver) acceptRequest(
	w http.ResponseWriter, request *http.Request, findWork func(*cataloguer.Catalogue, []byte) (*cataloguer.Work, *holder.Refusal),
) (*holder.Request, *holder.Refusal) {
	arrived := time.Now()
	result := &holder.Request{ID: newRequestID(), Arrived: arrived}
	w.Header().Set(headerRequestID, result.ID)
	catalogue := r.catalogue.Current()
	workspace, refusal := r.authenticate(catalogue, request)
	if refusal != nil {
		return result, refusal
	}
	body, refusal := readBody(w, request, r.settings.MaxBodyBytes)
	if refusal != nil {
		return result, refusal
	}
	work, refusal := findWork(catalogue, body)
	if refusal != nil {
		return result, refusal
	}
	if !work.Allows(workspace.Name) {
		return result, unknownEntry()
	}
	result.Workspace, result.Work = workspace.Name, work
	result.Body, result.ContentType = body, request.Header.Get(headerContentType)
	result.Key = request.Header.Get(headerKey)
	if result.Key == "" && work.KeyRequired() {
		return result, invalidRequest("this kind of work needs an " + headerKey + " header")
	}
	result.Deadline, refusal = deadline(request.Header, work, arrived)
	result.Fingerprint = isolator.Fingerprint(body, workspace.Name, work.Name)
	return result, refusal
}

// newRequestID returns a UUIDv7, or a random UUID if that fails.
func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

func readBody(w http.ResponseWriter, request *http.Request, limit int64) ([]byte, *holder.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, invalidRequest("the body is larger than the limit of this router")
	}
	if err != nil {
		return nil, invalidRequest("the body could not be read: " + err.Error())
	}
	return body, nil
}

func unknownEntry() *holder.Refusal {
	return &holder.Refusal{
		Outcome: holder.OutcomeNotRun, Code: holder.CodeUnknownEntry,
		Message: "the catalogue has no such entry for this workspace",
	}
}
