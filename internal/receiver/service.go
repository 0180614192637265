package receiver

import (
	"net/http"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
)

// service serves a request to a plain service, which the catalogue lists by method and path.
func (r *Receiver) service(w http.ResponseWriter, request *http.Request) {
	holderRequest, refusal := r.acceptRequest(w, request, func(catalogue *cataloguer.Catalogue, _ []byte) (*cataloguer.Work, *holder.Refusal) {
		work, ok := catalogue.WorkByPath(request.Method, request.URL.Path)
		if !ok {
			return nil, unknownEntry()
		}
		return work, nil
	})
	if refusal != nil {
		writeRefusal(w, holderRequest.ID, refusal)
		return
	}
	holderRequest.Method, holderRequest.Path = request.Method, request.URL.RequestURI()
	holderRequest.PromptTokens, holderRequest.MaxTokens = 1, 1
	answer := &serviceAnswer{answerWriter{w: w, requestID: holderRequest.ID}}
	holderRequest.Answer = answer
	if refusal := r.holder.Serve(request.Context(), holderRequest); refusal != nil {
		answer.refuse(refusal)
	}
}

// serviceAnswer writes the answer of a plain service.
type serviceAnswer struct {
	answerWriter
}

// Token fails: a plain service has no token stream.
func (a *serviceAnswer) Token(kernel.Frame) error { return &StreamNotSupportedError{} }

// Finish fails: a plain service has no token stream.
func (a *serviceAnswer) Finish(int) error { return &StreamNotSupportedError{} }
