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

// intake reads what all kinds of requests have in common. find names the kind of work; it runs after
// authentication, so that an unknown caller learns nothing of the catalogue.
func (r *Receiver) intake(
	w http.ResponseWriter, request *http.Request, find func(*cataloguer.Catalogue, []byte) (*cataloguer.Work, *holder.Refusal),
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
	work, refusal := find(catalogue, body)
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
		return result, invalid("this kind of work needs an " + headerKey + " header")
	}
	result.Deadline, refusal = deadline(request.Header, work, arrived)
	result.Fingerprint = isolator.Fingerprint(body, workspace.Name, work.Name)
	return result, refusal
}

// newRequestID returns a UUIDv7, or a random one if the time-ordered source fails.
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
		return nil, invalid("the body is larger than the limit of this router")
	}
	if err != nil {
		return nil, invalid("the body could not be read: " + err.Error())
	}
	return body, nil
}

func unknownEntry() *holder.Refusal {
	return &holder.Refusal{
		Outcome: holder.OutcomeNotRun, Code: holder.CodeUnknownEntry,
		Message: "the catalogue has no such entry for this workspace",
	}
}
