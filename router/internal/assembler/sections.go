package assembler

import (
	"coltsfootplank/internal/dumper"
)

// catalogueState is the state dump's section on the catalogue.
type catalogueState struct {
	Revision uint64 `json:"revision"`
	Offset   int64  `json:"offset"`
	LogLagMS int64  `json:"log_lag_ms"`
	Healthy  bool   `json:"log_healthy"`
}

// overview is the state dump's section on the router itself.
type overview struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
	Ready      bool   `json:"ready"`
	Requests   int    `json:"requests"`
}

// registerSections registers what the state dump shows.
func (r *Router) registerSections() error {
	r.dumper = dumper.New(r.settings.Name)
	sections := []struct {
		name    string
		section dumper.Section
	}{
		{"router", func() any { return r.overview() }},
		{"requests", func() any { return r.holder.Requests() }},
		{"tickets", r.ticketer.Dump},
		{"schedulers", r.runner.Dump},
		{"members", r.detector.Dump},
		{"claims", r.claimer.Dump},
		{"catalogue", func() any { return r.catalogueState() }},
		{"history", func() any { return r.recorder.Events() }},
	}
	for _, s := range sections {
		if _, err := r.dumper.Register(s.name, s.section); err != nil {
			return err
		}
	}
	return nil
}

func (r *Router) overview() overview {
	return overview{
		Name: r.settings.Name, DataCentre: r.settings.DataCentre, Leaving: r.leaving.Load(), Ready: r.ready(),
		Requests: len(r.holder.Requests()),
	}
}

func (r *Router) catalogueState() catalogueState {
	catalogue := r.cataloguer.Current()
	return catalogueState{
		Revision: catalogue.Revision, Offset: catalogue.Offset,
		LogLagMS: r.cataloguer.Lag().Milliseconds(), Healthy: r.cataloguer.Healthy(),
	}
}
