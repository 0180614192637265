package ticketer

import (
	"context"

	"go.uber.org/zap"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
)

// DecisionHandler receives the decisions on one ticket. Its methods are called without locks held and must not block. A
// decision made just before Cancel may still arrive afterwards; a Release of such a grant is ignored.
type DecisionHandler interface {
	Granted(grant *protocol.Grant)
	Refused(refusal *protocol.Refusal)
}

// Dialer runs a stream to a scheduler until it breaks or ctx ends. *messenger.Pool and *runner.Runner implement it.
type Dialer interface {
	Schedule(ctx context.Context, address string, outbox *messenger.Outbox[protocol.HolderMessage],
		receive func(*protocol.SchedulerMessage)) error
}

// Membership provides the member table. *detector.Detector implements it.
type Membership interface {
	View() *detector.View
	Subscribe(notify func(*detector.View)) (unsubscribe func())
}

// Catalogue provides the current catalogue, which is never nil, and announces changes.
type Catalogue interface {
	Current() *cataloguer.Catalogue
	Subscribe(notify func(*cataloguer.Catalogue)) (unsubscribe func())
}

// Options contains the settings and dependencies of a ticketer.
type Options struct {
	// Self is this router's name, and Incarnation the incarnation of its process in the member table.
	Self        string
	Incarnation uint64
	Members     Membership
	Catalogue   Catalogue
	// Remote opens streams to other routers by address, Local to the schedulers of this process.
	Remote Dialer
	Local  Dialer
	// CellEngines is the maximum number of engines in a pool cell; 0 means the default.
	CellEngines int
	Logger      *zap.Logger
}

// Refusal codes given by the ticketer itself.
const (
	codeNoUpstream      = "no_upstream"
	codeDeadlineExpired = "deadline_expired"
)
