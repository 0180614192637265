// Package controller serves the control port, which manages faults and VMs and returns statistics.
package controller

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"coltsfootplank/standin/internal/faulter"
	"coltsfootplank/standin/internal/generator"
	"coltsfootplank/standin/internal/hoster"
	"coltsfootplank/standin/internal/lister"
)

// Controller handles the requests to the control port.
type Controller struct {
	Directory *faulter.Directory
	Tracker   *generator.Tracker
	VMs       *lister.List
	// Stats collects the statistics of all components.
	Stats func() any
}

// FaultRequest switches a fault on for ForMS milliseconds, or until it is cleared if ForMS is 0.
type FaultRequest struct {
	Target string        `json:"target"`
	Fault  string        `json:"fault"`
	Value  faulter.Value `json:"value"`
	ForMS  int64         `json:"for_ms"`
}

// ErrorResponse is the body of an error response. Code is "invalid_request", "unknown_target" or "unknown_fault";
// Known lists the valid names.
type ErrorResponse struct {
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Known   []string `json:"known,omitempty"`
}

// Routes returns the handler of the control port.
func (c *Controller) Routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/control/faults", c.handleSet)
	r.Get("/control/faults", c.handleList)
	r.Delete("/control/faults", c.handleClear)
	r.Get("/control/stats", c.handleStats)
	r.Get("/control/runs/{id}", c.handleRuns)
	r.Post("/control/vms", c.VMs.HandleChange)
	return r
}

func (c *Controller) handleSet(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeFaultError(w, err)
		return
	}
	duration := time.Duration(request.ForMS) * time.Millisecond
	if err := c.Directory.Set(request.Target, request.Fault, request.Value, duration); err != nil {
		writeFaultError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (c *Controller) handleList(w http.ResponseWriter, _ *http.Request) {
	hoster.WriteJSON(w, http.StatusOK, map[string]any{
		"active": c.Directory.ActiveFaults(), "known": c.Directory.Descriptions(), "targets": c.Directory.Targets(),
	})
}

// handleClear clears one fault, or all faults of the target if no fault is named.
func (c *Controller) handleClear(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if err := c.Directory.Clear(query.Get("target"), query.Get("fault")); err != nil {
		writeFaultError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (c *Controller) handleStats(w http.ResponseWriter, _ *http.Request) {
	hoster.WriteJSON(w, http.StatusOK, c.Stats())
}

// handleRuns returns the number of times that engines ran a stream id.
func (c *Controller) handleRuns(w http.ResponseWriter, r *http.Request) {
	hoster.WriteJSON(w, http.StatusOK, map[string]int{"runs": c.Tracker.Runs(chi.URLParam(r, "id"))})
}

func writeFaultError(w http.ResponseWriter, err error) {
	var (
		target *faulter.UnknownTargetError
		fault  *faulter.UnknownFaultError
	)
	switch {
	case errors.As(err, &target):
		hoster.WriteJSON(w, http.StatusNotFound,
			ErrorResponse{Code: "unknown_target", Message: err.Error(), Known: target.Known})
	case errors.As(err, &fault):
		hoster.WriteJSON(w, http.StatusNotFound,
			ErrorResponse{Code: "unknown_fault", Message: err.Error(), Known: fault.Known})
	default:
		hoster.WriteJSON(w, http.StatusBadRequest, ErrorResponse{Code: "invalid_request", Message: err.Error()})
	}
}
