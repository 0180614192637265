package detector

import (
	"context"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// MaxProbeBytes bounds an encoded probe and its answer, so that the cost per member doesn't grow with the number of
// members. Only the answer to a request for the full table may be larger.
const MaxProbeBytes = 1200

// Transport sends probes to routers by address. *messenger.Pool implements it.
type Transport interface {
	Gossip(ctx context.Context, address string, request *protocol.GossipRequest) (*protocol.GossipResponse, error)
}

// Settings configures a detector. Zero durations take the defaults.
type Settings struct {
	// Name is this router's name, unique among the routers. Address is "ip:port" of its RouterService.
	Name       string
	Address    string
	DataCentre string
	// Processor is the processor capacity that the VM gives this router, in thousandths of a core; 0 if unknown.
	Processor uint32
	// Seeds are addresses of routers to join through, in addition to the VM list.
	Seeds []string
	// ProbeInterval is the time between probes; default 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a direct probe and, separately, the indirect probes that follow it; default 300 ms. Both
	// together must stay below ProbeInterval.
	ProbeTimeout time.Duration
	// SuspectTimeout is how long a suspect member may refute the suspicion before it is declared dead; default 2 s.
	SuspectTimeout time.Duration
	// DeadRetention is how long a dead member stays in the table; default 15 min. It must exceed 10 min, because claims
	// rank all members of the last 10 min, including dead ones.
	DeadRetention time.Duration
	// SyncInterval is the time between exchanges of the full table with one random member, which make up for lost
	// deltas; default 1 min.
	SyncInterval time.Duration
	// VMListInterval is the time between reads of the VM list after the first successful one; default 1 s.
	VMListInterval time.Duration
	// VMList lists the VMs of the deployment; nil if there is no list.
	VMList kernel.VMListProtocol
	Logger *zap.Logger
}

func (s Settings) withDefaults() Settings {
	for _, d := range []struct {
		value        *time.Duration
		defaultValue time.Duration
	}{
		{&s.ProbeInterval, time.Second},
		{&s.ProbeTimeout, 300 * time.Millisecond},
		{&s.SuspectTimeout, 2 * time.Second},
		{&s.DeadRetention, 15 * time.Minute},
		{&s.SyncInterval, time.Minute},
		{&s.VMListInterval, vmPollInterval},
	} {
		if *d.value == 0 {
			*d.value = d.defaultValue
		}
	}
	if s.Logger == nil {
		s.Logger = zap.NewNop()
	}
	return s
}
