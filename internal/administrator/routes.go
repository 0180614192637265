package administrator

import (
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"coltsfootplank/internal/dumper"
	"coltsfootplank/internal/protocol/protocolconnect"
)

// Routes returns the handler of the administration listener.
func Routes(server *Server, state *dumper.Dumper, registry metrics.Registry) http.Handler {
	router := chi.NewRouter()
	path, handler := protocolconnect.NewAdminServiceHandler(server)
	router.Mount(path, handler)
	router.Get("/debug/state", state.StateHandler())
	router.Get("/debug/metrics", dumper.MetricsHandler(registry))
	return router
}
