package assembler

import (
	"context"
	"net/http"

	"coltsfootplank/internal/administrator"
	"coltsfootplank/internal/admitter"
	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/claimer"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/leaser"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/receiver"
)

// catalogueMode is the mode in which a router serves the entries of the catalogue, which is stored in the platform's
// log.
type catalogueMode struct {
	*Router
	platform   platform
	cataloguer *cataloguer.Cataloguer
	claimer    *claimer.Claimer
	leaser     *leaser.Leaser
	orderer    *leaser.Orderer
	receiver   *receiver.Receiver
}

func newCatalogueMode(r *Router, closers *cleanups) (*catalogueMode, error) {
	c := &catalogueMode{Router: r}
	var err error
	if c.platform, err = newPlatform(r.settings.Platform, closers); err != nil {
		return nil, err
	}
	clients, closeClients := dispatcher.NewClients()
	closers.add(closeClients)
	s, log := r.settings, r.logger.Logger
	c.cataloguer = cataloguer.New(c.platform.Log, cataloguer.Options{
		FetchSnapshot: c.fetchSnapshot, Retention: s.Catalogue.Retention,
	}, log)
	r.createComponents(componentOptions{catalogue: c.cataloguer, vmList: c.platform.VMList})
	incarnation := r.incarnation()
	c.claimer = claimer.New(c.platform.Log, claimer.Identity{Router: s.Name, Incarnation: incarnation},
		claimer.Options{
			Retention: s.Claims.Retention, BatchWindow: s.Claims.Window, RegisterRemote: c.registerClaims, RankRouters: c.rankClaimHomes,
		}, log)
	c.leaser = leaser.New(c.platform.Log, leaser.Identity{Router: s.Name, Incarnation: incarnation}, leaser.Options{}, log)
	c.orderer = c.newOrderer(clients)
	r.holder = r.newHolder(c.cataloguer, c.claimer, clients)
	c.receiver = receiver.New(receiver.Settings{
		MaxBodyBytes: s.Limits.MaxBodyBytes,
		Ready:        r.ready,
	}, c.cataloguer, r.holder, log)
	return c, nil
}

func (c *catalogueMode) Handler() http.Handler { return c.receiver.Handler() }

func (c *catalogueMode) Tasks() []func(ctx context.Context) error {
	return []func(ctx context.Context) error{c.cataloguer.Run, c.claimer.Run, c.leaser.Run, c.orderer.Run, c.control}
}

func (c *catalogueMode) PeerHandlers() messenger.Handlers { return c.peerHandlers() }

func (c *catalogueMode) AdminCatalogue() administrator.Catalogue { return c.cataloguer }

// Published returns no limits, because the catalogue states none.
func (c *catalogueMode) Published() admitter.Published { return admitter.Published{} }

func (c *catalogueMode) Ready() bool { return c.cataloguer.Current().Revision > 0 }

func (c *catalogueMode) Deregister(context.Context) {}

func (c *catalogueMode) Sections() []section {
	return []section{
		{"claims", c.claimer.Dump},
		{"catalogue", func() any { return c.catalogueState() }},
	}
}
