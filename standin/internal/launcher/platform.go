// Package launcher starts all components of the stand-in platform in one process.
package launcher

import (
	"context"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/standin/internal/appender"
	"coltsfootplank/standin/internal/booker"
	"coltsfootplank/standin/internal/configurer"
	"coltsfootplank/standin/internal/controller"
	"coltsfootplank/standin/internal/faulter"
	"coltsfootplank/standin/internal/generator"
	"coltsfootplank/standin/internal/hoster"
	"coltsfootplank/standin/internal/lister"
	"coltsfootplank/standin/internal/supplier"
)

// Groups of fault targets besides "data_centre:<name>".
const (
	groupEngines = "engines"
	groupDesks   = "desks"
)

// Platform is the running stand-in platform.
type Platform struct {
	directory *faulter.Directory
	tracker   *generator.Tracker
	ledger    *booker.Ledger
	engines   []*generator.Engine
	desks     []*booker.Desk
	log       *appender.Log
	vmList    *lister.List
	weights   *supplier.Store
	control   *hoster.Host
}

// New starts all components; they run until ctx ends or group fails. If New fails, the caller must end ctx and wait
// for group.
func New(
	ctx context.Context, group *errgroup.Group, log *zap.Logger, settings configurer.Settings,
) (*Platform, error) {
	p := &Platform{
		directory: faulter.NewDirectory(), tracker: generator.NewTracker(), ledger: booker.NewLedger(),
	}
	if err := p.startEngines(ctx, group, log, settings.AllEngines()); err != nil {
		return nil, err
	}
	if err := p.startDesks(ctx, group, log, settings.AllDesks()); err != nil {
		return nil, err
	}
	if err := p.startServices(ctx, group, log, settings); err != nil {
		return nil, err
	}
	return p, p.startControl(ctx, group, log, settings.Control)
}

// Addresses maps the name of each component to its address.
func (p *Platform) Addresses() map[string]string {
	addresses := map[string]string{
		"control": p.control.Address(), "log": p.log.Address(), "vm_list": p.vmList.Address(),
		"weights": p.weights.Address(),
	}
	for _, engine := range p.engines {
		addresses[engine.Name()] = engine.Address()
	}
	for _, desk := range p.desks {
		addresses[desk.Name()] = desk.Address()
	}
	return addresses
}

func (p *Platform) startEngines(
	ctx context.Context, group *errgroup.Group, log *zap.Logger, list []generator.Settings,
) error {
	for _, settings := range list {
		table := generator.NewTable(settings.Name)
		engine, err := generator.New(ctx, group, log, settings, table, p.tracker)
		if err != nil {
			return err
		}
		p.engines = append(p.engines, engine)
		p.directory.Add(table, groupEngines, "data_centre:"+settings.DataCentre)
	}
	return nil
}

func (p *Platform) startDesks(
	ctx context.Context, group *errgroup.Group, log *zap.Logger, list []booker.Settings,
) error {
	for _, settings := range list {
		table := booker.NewTable(settings.Name)
		desk, err := booker.New(ctx, group, log, settings, table, p.ledger)
		if err != nil {
			return err
		}
		p.desks = append(p.desks, desk)
		p.directory.Add(table, groupDesks, "data_centre:"+settings.DataCentre)
	}
	return nil
}

func (p *Platform) startServices(
	ctx context.Context, group *errgroup.Group, log *zap.Logger, settings configurer.Settings,
) error {
	var err error
	table := appender.NewTable(settings.Log.Name)
	if p.log, err = appender.New(ctx, group, log, settings.Log, table); err != nil {
		return err
	}
	p.directory.Add(table)
	sources := make(map[lister.Source]string)
	for _, engine := range p.engines {
		sources[engine] = "engine"
	}
	for _, desk := range p.desks {
		sources[desk] = "service"
	}
	table = lister.NewTable(settings.VMList.Name)
	if p.vmList, err = lister.New(ctx, group, log, settings.VMList, table, sources); err != nil {
		return err
	}
	p.directory.Add(table)
	table = supplier.NewTable(settings.Weights.Name)
	if p.weights, err = supplier.New(ctx, group, log, settings.Weights, table); err != nil {
		return err
	}
	p.directory.Add(table)
	return nil
}

func (p *Platform) startControl(
	ctx context.Context, group *errgroup.Group, log *zap.Logger, address string,
) error {
	control := &controller.Controller{
		Directory: p.directory, Tracker: p.tracker, VMs: p.vmList, Stats: func() any { return p.Stats() },
	}
	// The control port has no faults of its own, so that faults can always be cleared.
	table := faulter.NewTable("control", nil)
	host, err := hoster.New(ctx, group, log, "control", address, table, control.Routes())
	p.control = host
	return err
}
