package receiver

import (
	"net/http"
	"strings"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/holder"
)

const bearerPrefix = "Bearer "

// authenticate returns the workspace that the bearer key of a request belongs to.
func (r *Receiver) authenticate(catalogue *cataloguer.Catalogue, request *http.Request) (*cataloguer.Workspace, *holder.Refusal) {
	text := request.Header.Get(headerAuthorization)
	if key, ok := strings.CutPrefix(text, bearerPrefix); ok {
		if workspace, ok := catalogue.WorkspaceByKey(key); ok {
			return workspace, nil
		}
	}
	return nil, &holder.Refusal{
		Outcome: holder.OutcomeNotRun, Code: holder.CodeUnauthorized, Message: "no workspace has this bearer key",
	}
}
