package runner

import (
	"context"

	"go.uber.org/zap"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/protocol"
)

// Membership is the part of *detector.Detector that a runner uses.
type Membership interface {
	View() *detector.View
	Subscribe(notify func(*detector.View)) (unsubscribe func())
	AddConvictions(convictions []*protocol.Conviction)
	Check(ctx context.Context, name string) error
}

// Catalogue publishes the current catalogue, which is never nil.
type Catalogue interface {
	Current() *cataloguer.Catalogue
	Subscribe(notify func(*cataloguer.Catalogue)) (unsubscribe func())
}

// Options are the dependencies of a runner.
type Options struct {
	// Self is this router's name.
	Self      string
	Members   Membership
	Catalogue Catalogue
	Factory   Factory
	// CellEngines is the largest number of engines in a pool cell; 0 means the default.
	CellEngines int
	// Reporter names the plug-in that reads the load reports of the model engines of opaque pools; empty means that
	// their reports aren't read.
	Reporter string
	Logger   *zap.Logger
}
