package assembler

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/kernel"
)

const (
	// announceTimeout bounds one try to record this router's address in the directory.
	announceTimeout = 2 * time.Second
	// announceRetry is the pause between tries.
	announceRetry = time.Second
	// announceSpread is the time over which routers that start together record their addresses. The store takes 4 ms for
	// each, one after another.
	announceSpread = 2 * time.Second
	// announceInterval is the time between two records of a router, give or take a half: 410 routers cost 0.7 calls a second.
	announceInterval = 10 * time.Minute
	// recordLifetime is how much older than the newest record one may be: its router has missed two of its own since.
	recordLifetime = 30 * time.Minute
)

// record is a router's own record in the directory.
type record struct {
	Address string `json:"address"`
	// Announced is the router's time of day in Unix seconds.
	Announced int64 `json:"announced_s"`
}

// announce records this router's address in the directory, by which routers without a live seed find each other, and renews the
// record from time to time.
func (g *gateway) announce(ctx context.Context) error {
	pause := rand.N(announceSpread)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		pause = announceInterval/2 + rand.N(announceInterval)
		if err := g.record(ctx); err != nil {
			g.logger.Warn("router's address not recorded", zap.Error(err))
			pause = announceRetry
		}
	}
}

func (g *gateway) record(ctx context.Context) error {
	data, err := json.Marshal(record{Address: g.settings.Peers.Advertise, Announced: time.Now().Unix()})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return g.directory.Announce(ctx, g.settings.Name, data)
}

// routerList is the VM list made of the routers' own records in the directory.
type routerList struct {
	directory kernel.DirectoryProtocol
	logger    *zap.Logger
}

// VMs implements kernel.VMListProtocol. A router that ended without a planned stop leaves its record behind: a record that
// wasn't renewed, by the age of the newest one, isn't listed.
func (l routerList) VMs(ctx context.Context) ([]kernel.VM, error) {
	page, err := l.directory.Newest(ctx, kernel.TopicRouters)
	if err != nil {
		return nil, err
	}
	var records []record
	var newest int64
	for _, stored := range page.Records {
		if len(stored.Value) == 0 {
			continue
		}
		var r record
		if err := json.Unmarshal(stored.Value, &r); err != nil {
			l.logger.Warn("router's record not usable", zap.String("key", stored.Key), zap.Error(err))
			continue
		}
		records = append(records, r)
		newest = max(newest, r.Announced)
	}
	vms := make([]kernel.VM, 0, len(records))
	for _, r := range records {
		if newest-r.Announced <= int64(recordLifetime/time.Second) {
			vms = append(vms, kernel.VM{Address: r.Address, Role: detector.RoleRouter, State: kernel.VMLive})
		}
	}
	return vms, nil
}
