package assembler

import (
	"context"
	"net/http"

	"coltsfootplank/internal/administrator"
	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/claimer"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/leaser"
	"coltsfootplank/internal/messenger"
	"coltsfootplank/internal/receiver"
)

// catalogued is the form of a router that serves the entries of the catalogue on the platform's log.
type catalogued struct {
	*Router
	platform   platform
	cataloguer *cataloguer.Cataloguer
	claimer    *claimer.Claimer
	leaser     *leaser.Leaser
	orderer    *leaser.Orderer
	receiver   *receiver.Receiver
}

func newCatalogued(r *Router, closers *cleanups) (*catalogued, error) {
	c := &catalogued{Router: r}
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
	r.assemble(parts{catalogue: c.cataloguer, vmList: c.platform.VMList})
	incarnation := r.incarnation()
	c.claimer = claimer.New(c.platform.Log, claimer.Identity{Router: s.Name, Incarnation: incarnation},
		claimer.Options{
			Retention: s.Claims.Retention, BatchWindow: s.Claims.Window, RegisterRemote: c.askClaims, RankRouters: c.claimRanks,
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

func (c *catalogued) Handler() http.Handler { return c.receiver.Handler() }

func (c *catalogued) Parts() []func(ctx context.Context) error {
	return []func(ctx context.Context) error{c.cataloguer.Run, c.claimer.Run, c.leaser.Run, c.orderer.Run, c.control}
}

func (c *catalogued) PeerHandlers() messenger.Handlers { return c.peerHandlers() }

func (c *catalogued) Administrated() administrator.Catalogue { return c.cataloguer }

func (c *catalogued) Ready() bool { return c.cataloguer.Current().Revision > 0 }

func (c *catalogued) Stop(context.Context) {}

func (c *catalogued) Sections() []section {
	return []section{
		{"claims", c.claimer.Dump},
		{"catalogue", func() any { return c.catalogueState() }},
	}
}
