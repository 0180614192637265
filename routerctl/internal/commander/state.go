package commander

import (
	"coltsfootplank/internal/protocol"
	"coltsfootplank/routerctl/internal/differ"
)

type stateCommand struct {
	Section string `arg:"" optional:"" help:"One section of the state; all of them if left out."`
}

// Run prints the state dump of the router.
func (c *stateCommand) Run(s session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	answer, err := client.Dump(s.ctx, &protocol.DumpRequest{Section: c.Section})
	if err != nil {
		return &CallError{Operation: "read state", Address: s.options.Admin, Cause: err}
	}
	// JSON is YAML, so the same parser reads it.
	value, err := differ.ParseAny([]byte(answer.Json))
	if err != nil {
		return &CallError{Operation: "decode state", Address: s.options.Admin, Cause: err}
	}
	return s.print(value)
}

type drainCommand struct{}

// Run starts the planned stop; the router goes on until its accepted requests are finished.
func (c *drainCommand) Run(s session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	if _, err := client.Drain(s.ctx, &protocol.DrainRequest{}); err != nil {
		return &ChangeError{Operation: "drain", Address: s.options.Admin, Cause: err}
	}
	return s.print(map[string]bool{"draining": true})
}
