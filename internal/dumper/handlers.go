package dumper

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// StateHandler answers GET ?section=NAME with the dump as JSON, and 404 for an unknown section.
func (d *Dumper) StateHandler() http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, err := d.Dump(r.URL.Query().Get("section"))
		var unknown *UnknownSectionError
		switch {
		case errors.As(err, &unknown):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			http.Error(w, err.Error(), http.StatusInternalServerError)
		default:
			writeJSON(w, text)
		}
	}
}

// MetricsHandler answers with all metrics of the registry as one JSON object, by metric name.
func MetricsHandler(registry metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		text, err := json.Marshal(registry.GetAll())
		if err != nil {
			http.Error(w, Error.Wrap(err).Error(), http.StatusInternalServerError)
			return
		}
		writeJSON(w, text)
	}
}

func writeJSON(w http.ResponseWriter, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has disconnected, so the error can't be reported to it.
	_, _ = w.Write(append(text, '\n'))
}
