package ticketer

import (
	"context"

	"go.uber.org/zap"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
)

// DecisionHandler is told the decisions on one ticket. It is called without locks held and must not block. A decision made
// just before Cancel may still arrive after it; a Release that answers it is ignored.
type DecisionHandler interface {
	Granted(grant *protocol.Grant)
	Refused(refusal *protocol.Refusal)
}

// Dialer runs one stream to a scheduler until it breaks or ctx ends. *messenger.Pool and *runner.Runner are dialers.
type Dialer interface {
	Schedule(ctx context.Context, address string, outbox *messenger.Outbox[protocol.HolderMessage],
		receive func(*protocol.SchedulerMessage)) error
}

// Membership is the part of *detector.Detector that the ticketer uses.
type Membership interface {
	View() *detector.View
	Subscribe(notify func(*detector.View)) (unsubscribe func())
}

// Catalogue publishes the current catalogue, which is never nil.
type Catalogue interface {
	Current() *cataloguer.Catalogue
	Subscribe(notify func(*cataloguer.Catalogue)) (unsubscribe func())
}

// Options are the dependencies of a ticketer.
type Options struct {
	// Self is this router's name, Incarnation the start of its process as known to the detector.
	Self        string
	Incarnation uint64
	Members     Membership
	Catalogue   Catalogue
	// Remote reaches other routers by address, Local the runner of this process.
	Remote Dialer
	Local  Dialer
	// CellEngines is the largest number of engines in a pool cell; 0 means the default.
	CellEngines int
	Logger      *zap.Logger
}

// Refusal codes given by the ticketer itself.
const (
	codeNoUpstream      = "no_upstream"
	codeDeadlineExpired = "deadline_expired"
)
