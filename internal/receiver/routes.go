package receiver

import (
	"net/http"

	"github.com/go-chi/chi/v5"
)

// Headers of the callers' requests and of the answers to them.
const (
	headerAuthorization = "Authorization"
	headerKey           = "Idempotency-Key"
	headerDeadline      = "X-Deadline-Ms"
	headerRequestID     = "X-Request-Id"
	headerRetryAfter    = "Retry-After"
	headerContentType   = "Content-Type"
)

// Handler returns the HTTP handler of the callers' API.
func (r *Receiver) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/live", r.live)
	router.Get("/ready", r.ready)
	router.Get("/v1/models", r.models)
	router.Post("/v1/chat/completions", r.chat)
	router.NotFound(r.service)
	router.MethodNotAllowed(r.service)
	return router
}
