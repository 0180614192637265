package detector

import (
	"context"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// MaxProbeBytes bounds an encoded probe and its answer, so that the cost per node doesn't grow with the number of
// members. Only the answer to a full request is larger.
const MaxProbeBytes = 1200

// Transport sends a probe to a router by address. *messenger.Pool is one.
type Transport interface {
	Gossip(ctx context.Context, address string, request *protocol.GossipRequest) (*protocol.GossipResponse, error)
}

// Settings configures a detector. Zero durations take the defaults.
type Settings struct {
	// Name is this router's name, unique among the routers. Address is "ip:port" of its RouterService.
	Name       string
	Address    string
	DataCentre string
	// Processor is the share of a core that this VM gives the router, in thousandths; 0 if it isn't known.
	Processor uint32
	// Seeds are addresses to join through besides the VM list.
	Seeds []string
	// ProbeInterval is the time between probes; default 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a direct probe, and again the indirect ones; default 300 ms each. Both together stay below
	// the interval.
	ProbeTimeout time.Duration
	// SuspectTimeout is how long a member may refute before it is dead; default 2 s.
	SuspectTimeout time.Duration
	// DeadRetention is how long a dead member stays in the table; default 15 min. Claims rank members over the
	// last 10 min, dead ones included, so it must be longer than that.
	DeadRetention time.Duration
	// SyncInterval is the time between exchanges of the full table with one random member, which repair what
	// lost deltas have missed; default 1 min.
	SyncInterval time.Duration
	// VMListInterval is the time between reads of the VM list once it has been read; default 1 s.
	VMListInterval time.Duration
	// VMList may be nil.
	VMList kernel.VMListProtocol
	Logger *zap.Logger
}

func (s Settings) withDefaults() Settings {
	for _, d := range []struct {
		value   *time.Duration
		initial time.Duration
	}{
		{&s.ProbeInterval, time.Second},
		{&s.ProbeTimeout, 300 * time.Millisecond},
		{&s.SuspectTimeout, 2 * time.Second},
		{&s.DeadRetention, 15 * time.Minute},
		{&s.SyncInterval, time.Minute},
		{&s.VMListInterval, vmPollInterval},
	} {
		if *d.value == 0 {
			*d.value = d.initial
		}
	}
	if s.Logger == nil {
		s.Logger = zap.NewNop()
	}
	return s
}
