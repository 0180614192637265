package ticketer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
)

// ticket is one open request of this router.
type ticket struct {
	message   *protocol.Ticket
	decider   DecisionHandler
	submitted time.Time
	attempt   uint32
	cell      int
	role      string
	// target is the scheduler that the ticket was sent to, session the stream it was sent on. The ticket must
	// be sent again when that stream is no longer the current one to the target.
	target  string
	session *messenger.Outbox[protocol.HolderMessage]
	granted bool
	engine  string
	// grantedAt is when the grant arrived.
	grantedAt time.Time
	// adopters are the other schedulers that were told of the granted request, with the streams.
	adopters map[string]*messenger.Outbox[protocol.HolderMessage]
}

// outgoing returns the message for the current attempt, with the age and the time left at now. expired means that
// the deadline has passed.
func (t *ticket) outgoing(now time.Time) (message *protocol.Ticket, expired bool) {
	waited := now.Sub(t.submitted).Milliseconds()
	message = proto.CloneOf(t.message)
	message.AgeMs += waited
	message.Attempt = t.attempt
	message.Cell = uint32(t.cell)
	if message.GetDeadlineMs() > 0 {
		message.DeadlineMs -= waited
		expired = message.GetDeadlineMs() <= 0
	}
	return message, expired
}

// adoption describes a granted request to another scheduler than the one that granted it.
func (t *ticket) adoption(now time.Time) *protocol.Adoption {
	message, _ := t.outgoing(now)
	return &protocol.Adoption{Ticket: message, Engine: t.engine, RunningMs: now.Sub(t.grantedAt).Milliseconds()}
}

// release completes a release of this ticket's grant.
func (t *ticket) release(release *protocol.Release) *protocol.Release {
	full := proto.CloneOf(release)
	full.RequestId = t.message.GetRequestId()
	full.Pool, full.Cell, full.Attempt = t.message.GetPool(), uint32(t.cell), t.attempt
	full.Engine = t.engine
	if full.GetFingerprint() == 0 {
		full.Fingerprint = t.message.GetFingerprint()
	}
	return full
}

// unused returns the release that returns a grant for which there is no ticket.
func unused(grant *protocol.Grant) *protocol.Release {
	return &protocol.Release{
		RequestId: grant.GetRequestId(), Engine: grant.GetEngine(), Kind: protocol.ReleaseKind_RELEASE_KIND_UNUSED,
		Pool: grant.GetPool(), Cell: grant.GetCell(), Attempt: grant.GetAttempt(),
	}
}

// decision is a call of a decider, made after the lock is released.
type decision struct {
	decider DecisionHandler
	grant   *protocol.Grant
	refusal *protocol.Refusal
}

func deliver(decisions []decision) {
	for _, d := range decisions {
		if d.grant != nil {
			d.decider.Granted(d.grant)
		} else {
			d.decider.Refused(d.refusal)
		}
	}
}
