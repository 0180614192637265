package receiver

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/holder"
)

// Holder serves requests.
type Holder interface {
	// Serve serves a request from its arrival until its answer ends. It returns nil if the whole answer was written.
	Serve(ctx context.Context, request *holder.Request) *holder.Refusal
	// Draining reports whether the router is stopping.
	Draining() bool
}

// Catalogue provides the current catalogue, which is never nil.
type Catalogue interface {
	Current() *cataloguer.Catalogue
}

// Settings configures a receiver.
type Settings struct {
	// MaxBodyBytes is the size limit of a request body.
	MaxBodyBytes int64
	// Ready reports whether this router is ready for requests.
	Ready func() bool
}

// Receiver is the HTTP API for callers. It parses requests and hands them to the holder.
type Receiver struct {
	settings  Settings
	catalogue Catalogue
	holder    Holder
	logger    *zap.Logger
}

// New returns a receiver.
func New(settings Settings, catalogue Catalogue, requestHolder Holder, logger *zap.Logger) *Receiver {
	return &Receiver{settings: settings, catalogue: catalogue, holder: requestHolder, logger: logger}
}

// deadline returns when the answer is due. The caller's header takes precedence over the catalogue entry; the time is
// zero if neither states a deadline.
func deadline(header http.Header, work *cataloguer.Work, arrived time.Time) (time.Time, *holder.Refusal) {
	if text := header.Get(headerDeadline); text != "" {
		remaining, err := time.ParseDuration(text + "ms")
		if err != nil || remaining <= 0 {
			return time.Time{}, invalidRequest(headerDeadline + " must be a positive number of milliseconds")
		}
		return arrived.Add(remaining), nil
	}
	if work.Deadline > 0 {
		return arrived.Add(work.Deadline), nil
	}
	return time.Time{}, nil
}
