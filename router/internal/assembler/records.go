package assembler

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/archiver"
	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/kernel"
)

const (
	// announceTimeout bounds one attempt to write or delete this router's record in the directory.
	announceTimeout = 2 * time.Second
	// announceRetry is the delay after a failed attempt.
	announceRetry = time.Second
	// announceSpread is the time over which routers that start together, or hear that the directory was restored from a copy,
	// spread their writes. The directory takes 4 ms for each write, one after another.
	announceSpread = 2 * time.Second
	// announceCheck is the time between two checks whether the directory was restored.
	announceCheck = 100 * time.Millisecond
	// announceInterval is the mean time between two writes of a router; the actual time varies by up to half of it.
	// 410 routers make 0.7 calls per second.
	announceInterval = 10 * time.Minute
	// recordLifetime is the age, relative to the newest record, above which a record is ignored. By then its router has
	// missed two writes.
	recordLifetime = 30 * time.Minute
)

// routerRecord is a router's own record in the directory.
type routerRecord struct {
	Address string `json:"address"`
	// Announced is the time of the write by the router's clock, in Unix seconds.
	Announced int64 `json:"announced_s"`
}

// announce writes this router's address to the directory and renews it regularly, and when the directory was restored from a copy
// that may lack it. Routers without a live seed find each other by these records.
func (g *gatewayMode) announce(ctx context.Context) error {
	ticker, due := time.NewTicker(announceCheck), time.NewTimer(rand.N(announceSpread))
	defer ticker.Stop()
	defer due.Stop()
	for era := g.subscriber.Era(); ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			known := g.subscriber.Era()
			if known != era && era >= 0 {
				due.Reset(rand.N(announceSpread - announceCheck))
			}
			era = known
		case <-due.C:
			pause := announceInterval/2 + rand.N(announceInterval)
			if err := g.writeRecord(ctx); err != nil {
				g.logger.Warn("router's record not written", zap.Error(err))
				pause = announceRetry
			}
			due.Reset(pause)
		}
	}
}

func (g *gatewayMode) writeRecord(ctx context.Context) error {
	data, err := json.Marshal(routerRecord{Address: g.settings.Peers.Advertise, Announced: time.Now().Unix()})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return g.directory.Announce(ctx, g.settings.Name, data)
}

// routerList is a VM list that consists of the routers' own records in the directory.
type routerList struct {
	directory kernel.DirectoryProtocol
	// observe gets all newest records of the routers, among which there are also other ones.
	observe func(page kernel.DirectoryPage)
	logger  *zap.Logger
}

// VMs implements kernel.VMListProtocol. A router that ended without a planned stop leaves its record behind, so records
// that are older than the newest one by more than recordLifetime aren't listed.
func (l routerList) VMs(ctx context.Context) ([]kernel.VM, error) {
	page, err := l.directory.Newest(ctx, kernel.TopicRouters)
	if err != nil {
		return nil, err
	}
	l.observe(page)
	var records []routerRecord
	var newest int64
	for _, stored := range page.Records {
		if strings.HasPrefix(stored.Key, archiver.KeyPrefix) {
			continue
		}
		if rollout, err := l.directory.RolloutRecord(stored); len(stored.Value) == 0 || rollout != nil || err != nil {
			continue
		}
		r, err := decodeRecord(stored.Value, time.Now())
		if err != nil {
			l.logger.Warn("router's record could not be decoded", zap.String("key", stored.Key), zap.Error(err))
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

// decodeRecord decodes a router's record. Another writer may have left an odd one: a time far in the future would make all
// other records look old. Errors: *RecordError, and those of the decoder.
func decodeRecord(data []byte, now time.Time) (routerRecord, error) {
	var r routerRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return r, err
	}
	if r.Announced < 0 || r.Announced > now.Add(recordLifetime).Unix() {
		return r, &RecordError{Field: "announced_s"}
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return r, &RecordError{Field: "address"}
	}
	return r, nil
}
