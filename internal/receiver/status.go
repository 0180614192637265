package receiver

import (
	"encoding/json"
	"net/http"
)

func (r *Receiver) live(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (r *Receiver) ready(w http.ResponseWriter, _ *http.Request) {
	if r.holder.Draining() || !r.settings.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// modelEntry describes a model in the answer of /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (r *Receiver) models(w http.ResponseWriter, request *http.Request) {
	catalogue := r.catalogue.Current()
	workspace, refusal := r.authenticate(catalogue, request)
	if refusal != nil {
		writeRefusal(w, "", refusal)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for i := range catalogue.Works {
		work := &catalogue.Works[i]
		if work.Model != "" && work.Allows(workspace.Name) {
			list.Data = append(list.Data, modelEntry{ID: work.Name, Object: "model", OwnedBy: work.Owner})
		}
	}
	w.Header().Set(headerContentType, "application/json")
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(list)
}
