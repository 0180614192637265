package assembler

import (
	"coltsfootplank/internal/dumper"
)

// section is one part of the state dump.
type section struct {
	name string
	dump dumper.Section
}

// catalogueState is the section of the state dump on the catalogue.
type catalogueState struct {
	Revision uint64 `json:"revision"`
	Offset   int64  `json:"offset"`
	LogLagMS int64  `json:"log_lag_ms"`
	Healthy  bool   `json:"log_healthy"`
}

// overview is the section of the state dump on the router itself.
type overview struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Leaving    bool   `json:"leaving"`
	Ready      bool   `json:"ready"`
	Requests   int    `json:"requests"`
}

// registerSections creates the dumper and registers the sections of the state dump.
func (r *Router) registerSections() error {
	r.dumper = dumper.New(r.settings.Name)
	sections := []section{
		{"router", func() any { return r.overview() }},
		{"requests", func() any { return r.holder.Requests() }},
		{"tickets", r.ticketer.Dump},
		{"schedulers", r.runner.Dump},
		{"members", r.detector.Dump},
		{"history", func() any { return r.recorder.Events() }},
	}
	for _, s := range append(sections, r.mode.Sections()...) {
		if _, err := r.dumper.Register(s.name, s.dump); err != nil {
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

func (c *catalogueMode) catalogueState() catalogueState {
	catalogue := c.cataloguer.Current()
	return catalogueState{
		Revision: catalogue.Revision, Offset: catalogue.Offset,
		LogLagMS: c.cataloguer.Lag().Milliseconds(), Healthy: c.cataloguer.Healthy(),
	}
}
