package ticketer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/protocol"
)

// ticket is an open ticket of this router.
type ticket struct {
	message   *protocol.Ticket
	handler   DecisionHandler
	submitted time.Time
	attempt   uint32
	cell      int
	// role names the scheduling of the cell, as "pool/cell". Routers are ranked by role.
	role string
	// target is the scheduler that the ticket was sent to, and outbox identifies the stream that it was sent on. A
	// waiting ticket must be resent when that stream is no longer the current one to the target.
	target  string
	outbox  *messenger.Outbox[protocol.HolderMessage]
	granted bool
	engine  string
	// grantedAt is when the grant arrived.
	grantedAt time.Time
	// adopters maps the other schedulers that were told about the granted request to the outboxes of the streams used.
	adopters map[string]*messenger.Outbox[protocol.HolderMessage]
}

// outgoing returns the message for the current attempt, with the age and the remaining time as of now. It returns
// expired as true if the deadline has passed.
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

// adoption returns the message that describes a granted request to a scheduler that didn't grant it.
func (t *ticket) adoption(now time.Time) *protocol.Adoption {
	message, _ := t.outgoing(now)
	return &protocol.Adoption{Ticket: message, Engine: t.engine, RunningMs: now.Sub(t.grantedAt).Milliseconds()}
}

// completeRelease returns a copy of a release with the fields that identify this ticket's grant filled in.
func (t *ticket) completeRelease(release *protocol.Release) *protocol.Release {
	completed := proto.CloneOf(release)
	completed.RequestId = t.message.GetRequestId()
	completed.Pool, completed.Cell, completed.Attempt = t.message.GetPool(), uint32(t.cell), t.attempt
	completed.Engine = t.engine
	if completed.GetFingerprint() == 0 {
		completed.Fingerprint = t.message.GetFingerprint()
	}
	return completed
}

// unusedRelease returns the release of a grant for which no ticket is open.
func unusedRelease(grant *protocol.Grant) *protocol.Release {
	return &protocol.Release{
		RequestId: grant.GetRequestId(), Engine: grant.GetEngine(), Kind: protocol.ReleaseKind_RELEASE_KIND_UNUSED,
		Pool: grant.GetPool(), Cell: grant.GetCell(), Attempt: grant.GetAttempt(),
	}
}

// decision is a pending call of a DecisionHandler, made after the lock is released.
type decision struct {
	handler DecisionHandler
	grant   *protocol.Grant
	refusal *protocol.Refusal
}

func deliver(decisions []decision) {
	for _, d := range decisions {
		if d.grant != nil {
			d.handler.Granted(d.grant)
		} else {
			d.handler.Refused(d.refusal)
		}
	}
}
