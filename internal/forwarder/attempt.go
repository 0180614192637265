package forwarder

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"coltsfootplank/internal/holder"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/logger"
	"coltsfootplank/internal/protocol"
)

// attempt records how one attempt of a request went.
type attempt struct {
	// status is the status of the upstream's answer, or 0 if no head arrived.
	status int
	// length is the stated length of the answer's body in bytes, or -1 if none was stated.
	length int64
	// answerBegun is set if an earlier attempt has relayed a part of the answer, up to the event with the id after.
	answerBegun bool
	after       string
	// firstID and lastID are the ids of the first and the last complete event that the upstream sent, events is their
	// number.
	firstID, lastID string
	events          int
	// incompleteBytes is the number of bytes after the last complete event at the end of the body.
	incompleteBytes int
	// load is what the head of the answer stated about the upstream's load, and loadAt when the head arrived.
	load   kernel.StatedLoad
	loadAt time.Time
	// end is the error with which the answer ended, or nil if it ended in the regular way.
	end error
}

// observe records the id of a complete event.
func (a *attempt) observe(id string) {
	if a.events == 0 {
		a.firstID = id
	}
	a.lastID = id
	a.events++
}

// logAttempt logs an attempt that may have run, unless it is the only one and the caller got its whole answer.
func (x *exchange) logAttempt(upstream string, result holder.SendResult) {
	a := &x.attempt
	whole := result.Kind == protocol.ReleaseKind_RELEASE_KIND_ANSWERED && result.Refusal == nil
	notSent := a.status == 0 && a.end == nil
	onlyAttempt := whole && x.sends <= 1
	if notSent || onlyAttempt {
		return
	}
	if a.answerBegun {
		metrics.GetOrRegisterCounter("streams.resumed."+result.Kind.String(), x.forwarder.options.Metrics).Inc(1)
	}
	x.forwarder.options.Logger.Info("attempt ended", zap.String("request_id", x.holderRequest.ID),
		zap.String("upstream", upstream), zap.Int("attempt", x.sends), zap.Int("status", a.status),
		zap.Int64("length", a.length), zap.Bool("answer_begun", a.answerBegun), zap.String("after", a.after),
		zap.String("first_event", a.firstID), zap.String("last_event", a.lastID), zap.Int("events", a.events),
		zap.Int("incomplete_bytes", a.incompleteBytes), zap.NamedError("end", a.end), logger.HexList("parts", x.metadata.PromptParts),
		zap.String("release", result.Kind.String()), zap.Bool("resubmit", result.Resubmit))
}
