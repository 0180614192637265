package generator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/standin/internal/hoster"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 8 << 20

func (e *Engine) routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/generate", e.handleGenerate)
	r.Get("/v1/streams/{id}", e.handleResume)
	r.Delete("/v1/streams/{id}", e.handleCancel)
	r.Get("/v1/load", e.handleLoad)
	r.Get("/v1/cache_events", e.handleCacheEvents)
	r.Post("/v1/orders", e.handleOrder)
	r.Get("/v1/kv/{hash}", e.handleExport)
	r.Post("/v1/kv/{hash}", e.handleImport)
	return r
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var request kernel.GenerateRequest
	if !readBody(w, r, &request) {
		return
	}
	if e.table.Triggers(FaultCutBeforeRun) {
		hoster.Abort()
	}
	if value, on := e.table.Get(FaultReject); on {
		e.countRejected()
		hoster.WriteError(w, int(value.NumberOr(http.StatusInternalServerError)), &InjectedError{Fault: FaultReject})
		return
	}
	s, err := e.submit(request)
	if err != nil {
		e.countRejected()
		hoster.WriteError(w, httpStatus(err), err)
		return
	}
	if e.table.Triggers(FaultCutBeforeAnswer) {
		hoster.Abort()
	}
	e.sendStream(w, r, s, 0)
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		hoster.WriteError(w, http.StatusBadRequest, &InvalidRequestError{Reason: "from is not a token index"})
		return
	}
	streamID := chi.URLParam(r, "id")
	if _, forget := e.table.Get(FaultForgetStreams); forget {
		hoster.WriteError(w, http.StatusNotFound, &UnknownStreamError{StreamID: streamID})
		return
	}
	if value, on := e.table.Get(FaultRejectResumes); on {
		hoster.WriteError(w, int(value.NumberOr(http.StatusInternalServerError)), &InjectedError{Fault: FaultRejectResumes})
		return
	}
	s, err := e.findStream(streamID)
	if err != nil {
		hoster.WriteError(w, httpStatus(err), err)
		return
	}
	e.sendStream(w, r, s, from)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if err := e.cancelStream(chi.URLParam(r, "id")); err != nil {
		hoster.WriteError(w, httpStatus(err), err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	hoster.WriteJSON(w, http.StatusOK, e.loadReport())
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		hoster.WriteError(w, http.StatusBadRequest, &InvalidRequestError{Reason: "after is not a sequence number"})
		return
	}
	e.mu.Lock()
	page := e.inst.events.page(after)
	e.mu.Unlock()
	hoster.WriteJSON(w, http.StatusOK, page)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order kernel.Order
	if !readBody(w, r, &order) {
		return
	}
	if err := e.applyOrder(order); err != nil {
		hoster.WriteError(w, httpStatus(err), err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	hash, err := strconv.ParseUint(chi.URLParam(r, "hash"), 10, 64)
	if err != nil {
		hoster.WriteError(w, http.StatusBadRequest, &InvalidRequestError{Reason: "the hash is not a number"})
		return
	}
	exported, err := e.exportPrefix(hash)
	if err != nil {
		hoster.WriteError(w, httpStatus(err), err)
		return
	}
	hoster.WriteJSON(w, http.StatusOK, exported)
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var exported ExportedPrefix
	if !readBody(w, r, &exported) {
		return
	}
	hash, err := strconv.ParseUint(chi.URLParam(r, "hash"), 10, 64)
	if err != nil {
		hoster.WriteError(w, http.StatusBadRequest, &InvalidRequestError{Reason: "the hash is not a number"})
		return
	}
	if err := e.importPrefix(hash, exported); err != nil {
		hoster.WriteError(w, httpStatus(err), err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) countRejected() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Rejected++
}

// readBody decodes a JSON body. If that fails, it writes a 400 response and returns false.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		hoster.WriteError(w, http.StatusBadRequest, &InvalidRequestError{Reason: err.Error()})
		return false
	}
	return true
}

func httpStatus(err error) int {
	var (
		duplicate      *DuplicateStreamError
		stale          *StaleOrderError
		unknownOrderer *UnknownOrdererError
		invalid        *InvalidRequestError
	)
	switch {
	case errors.As(err, &duplicate), errors.As(err, &stale):
		return http.StatusConflict
	case errors.As(err, &unknownOrderer):
		return http.StatusForbidden
	case errors.As(err, &invalid):
		return http.StatusBadRequest
	}
	return http.StatusNotFound
}
