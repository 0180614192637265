package receiver

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/holder"
)

// Server serves one request from arrival to its answer; nil means that the whole answer was passed on.
type Server interface {
	Serve(ctx context.Context, request *holder.Request) *holder.Refusal
	Draining() bool
}

// Catalogue gives the current catalogue, never nil.
type Catalogue interface {
	Current() *cataloguer.Catalogue
}

// Settings bounds what a caller may send.
type Settings struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// Ready says whether this router may get requests.
	Ready func() bool
}

// Receiver turns HTTP requests into requests of the holder.
type Receiver struct {
	settings  Settings
	catalogue Catalogue
	server    Server
	logger    *zap.Logger
}

// New returns a receiver.
func New(settings Settings, catalogue Catalogue, server Server, logger *zap.Logger) *Receiver {
	return &Receiver{settings: settings, catalogue: catalogue, server: server, logger: logger}
}

// deadline returns when the answer is due: the caller's header goes before the catalogue entry.
func deadline(header http.Header, work *cataloguer.Work, arrived time.Time) (time.Time, *holder.Refusal) {
	if text := header.Get(headerDeadline); text != "" {
		left, err := time.ParseDuration(text + "ms")
		if err != nil || left <= 0 {
			return time.Time{}, invalid(headerDeadline + " must be a positive number of milliseconds")
		}
		return arrived.Add(left), nil
	}
	if work.Deadline > 0 {
		return arrived.Add(work.Deadline), nil
	}
	return time.Time{}, nil
}
