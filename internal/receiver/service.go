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
	holderRequest.Answer = &serviceAnswer{w: w}
	if refusal := r.holder.Serve(request.Context(), holderRequest); refusal != nil {
		writeRefusal(w, holderRequest.ID, refusal)
	}
}

// serviceAnswer writes the answer of a plain service.
type serviceAnswer struct {
	w http.ResponseWriter
}

// Response writes the whole answer.
func (a *serviceAnswer) Response(response kernel.ServiceResponse) error {
	if response.ContentType != "" {
		a.w.Header().Set(headerContentType, response.ContentType)
	}
	a.w.WriteHeader(response.Status)
	if _, err := a.w.Write(response.Body); err != nil {
		return &WriteError{Cause: err}
	}
	return flush(a.w)
}

// Token fails: a plain service has no token stream.
func (a *serviceAnswer) Token(kernel.Frame) error { return &StreamNotSupportedError{} }

// Finish fails: a plain service has no token stream.
func (a *serviceAnswer) Finish(int) error { return &StreamNotSupportedError{} }
