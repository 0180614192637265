package detector

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/protocol"
)

const (
	// indirectProbes is the number of other members asked to probe a member that didn't answer directly.
	indirectProbes = 2
	// silentProbes is the number of silent members that are probed in each interval.
	silentProbes = 2
	// pushMembers is the number of members that are notified directly of a planned stop.
	pushMembers = 8
	// joinInterval is the time between full table exchanges after the start of a router. Each exchange about doubles the
	// number of known members, so that a few hundred routers that start together know each other within a second.
	joinInterval = 100 * time.Millisecond
	// joinTime is how long a router makes these exchanges. Running members answer within milliseconds.
	joinTime = 3 * time.Second
)

// probeLoop probes one member and one candidate in each interval. The probes run concurrently in group, because an
// unanswered probe takes most of an interval.
func (d *Detector) probeLoop(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(d.settings.ProbeInterval)
	defer ticker.Stop()
	// The random delay keeps routers that start together from syncing at the same time.
	nextSync := time.Now().Add(rand.N(d.settings.SyncInterval))
	group.Go(func() error { return d.join(ctx, group) })
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.pushes:
			group.Go(func() error { d.pushDeltas(ctx); return nil })
			continue
		case <-ticker.C:
		}
		var suspected []string
		d.update(func(now time.Time, t *table) {
			t.tick(now)
			suspected = t.suspectsToProbe(now)
		})
		if d.departed.Load() {
			continue
		}
		full := !time.Now().Before(nextSync)
		if full {
			nextSync = time.Now().Add(d.settings.SyncInterval)
		}
		for _, name := range suspected {
			group.Go(func() error { d.probe(ctx, name, false); return nil })
		}
		if target, ok := d.nextTarget(); ok {
			group.Go(func() error { d.probe(ctx, target, full); return nil })
		}
		group.Go(func() error { d.contactCandidate(ctx, false); return nil })
	}
}

// join exchanges full tables with candidates, one every joinInterval, until joinTime has passed.
func (d *Detector) join(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for start := time.Now(); time.Since(start) < joinTime && !d.departed.Load(); {
		group.Go(func() error { d.contactCandidate(ctx, true); return nil })
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// nextTarget returns the next member to probe. It visits each member once per round, in random order, which bounds the
// time between two probes of a member.
func (d *Detector) nextTarget() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for refilled := false; ; {
		for len(d.probeOrder) > 0 {
			name := d.probeOrder[0]
			d.probeOrder = d.probeOrder[1:]
			if known, ok := d.table.records[name]; ok && known.member.GetState() != dead {
				return name, true
			}
		}
		if refilled {
			return "", false
		}
		d.probeOrder, refilled = d.table.present(""), true
	}
}

// present returns, in random order, the names of the members that aren't dead, excluding one name.
func (t *table) present(except string) []string {
	var names []string
	for name, known := range t.records {
		if known.member.GetState() != dead && name != except {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// probe probes a member directly, then indirectly through other members, and marks it suspect if all of that fails.
func (d *Detector) probe(ctx context.Context, name string, full bool) {
	member, ok := d.View().Member(name)
	if !ok {
		return
	}
	err := d.exchange(ctx, name, member.Address, full)
	if err == nil || ctx.Err() != nil {
		return
	}
	d.update(func(_ time.Time, t *table) { t.recordSilence(name) })
	if d.probeThroughOthers(ctx, name) || ctx.Err() != nil {
		return
	}
	d.settings.Logger.Info("member did not answer", zap.Error(&NoAnswerError{Member: name, Cause: err}))
	d.update(func(now time.Time, t *table) { t.suspect(now, name, member.Incarnation) })
}

// Check sends one direct probe to a member, which counts as silent if it doesn't answer. Errors: *UnknownMemberError,
// *NoAnswerError.
func (d *Detector) Check(ctx context.Context, name string) error {
	member, ok := d.View().Member(name)
	if !ok {
		return &UnknownMemberError{Member: name}
	}
	if err := d.exchange(ctx, name, member.Address, false); err != nil {
		if ctx.Err() == nil {
			d.update(func(_ time.Time, t *table) { t.recordSilence(name) })
		}
		return &NoAnswerError{Member: name, Cause: err}
	}
	return nil
}

// exchange sends a probe to a router and applies the answer. name is empty when only the address is known.
func (d *Detector) exchange(ctx context.Context, name, address string, full bool) error {
	var request *protocol.GossipRequest
	d.update(func(_ time.Time, t *table) { request = t.request(name) })
	request.Full = full
	return d.send(ctx, name, address, request, d.settings.ProbeTimeout)
}

// send sends a request to a router and applies the answer. If the address was reused and another member answers, that
// doesn't count as an answer of the named member.
func (d *Detector) send(ctx context.Context, name, address string, request *protocol.GossipRequest,
	timeout time.Duration,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := d.transport.Gossip(ctx, address, request)
	if err != nil {
		return err
	}
	d.update(func(now time.Time, t *table) {
		t.receive(now, response.GetFrom(), response.GetMembers(), response.GetConvictions())
	})
	if answerer := response.GetFrom().GetName(); name != "" && answerer != name {
		return &UnexpectedMemberError{Member: name, Answerer: answerer}
	}
	if request.GetProbeTarget() != "" && !response.GetProbeSucceeded() {
		return &NoAnswerError{Member: request.GetProbeTarget(), Cause: context.DeadlineExceeded}
	}
	return nil
}

// probeThroughOthers asks other members to probe a member and reports whether it answered one of them. The timeout is
// twice ProbeTimeout, because the relay's own probe may take ProbeTimeout.
func (d *Detector) probeThroughOthers(ctx context.Context, name string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mu.Lock()
	relayNames := d.table.present(name)
	d.mu.Unlock()
	relayNames = relayNames[:min(len(relayNames), indirectProbes)]
	var group errgroup.Group
	answered := make([]bool, len(relayNames))
	for i, relayName := range relayNames {
		group.Go(func() error {
			relay, _ := d.View().Member(relayName)
			request := &protocol.GossipRequest{ProbeTarget: name}
			d.update(func(_ time.Time, t *table) { request.From = t.self })
			if d.send(ctx, relayName, relay.Address, request, 2*d.settings.ProbeTimeout) == nil {
				answered[i] = true
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
	return slices.Contains(answered, true)
}

// contactCandidate probes one random address that may belong to a router but isn't known to run one: an address from
// the VM list, a seed, or a dead member. Probing dead members reunites the sides of a healed network partition. It
// requests the full table if full is set or no other member is known.
func (d *Detector) contactCandidate(ctx context.Context, full bool) {
	d.mu.Lock()
	candidates, known := d.table.candidates(), len(d.table.records)
	d.mu.Unlock()
	if len(candidates) == 0 {
		return
	}
	candidate := candidates[rand.IntN(len(candidates))]
	if err := d.exchange(ctx, candidate.name, candidate.address, full || known == 0); err != nil {
		d.settings.Logger.Debug("candidate did not answer", zap.String("address", candidate.address), zap.Error(err))
	}
}

// candidate is an address that may belong to a router. name is empty if it isn't known.
type candidate struct{ name, address string }

// candidates returns the addresses for contactCandidate.
func (t *table) candidates() []candidate {
	present := map[string]bool{t.self.GetAddress(): true}
	for _, known := range t.records {
		if known.member.GetState() != dead {
			present[known.member.GetAddress()] = true
		}
	}
	var found []candidate
	add := func(name, address string) {
		if !present[address] {
			present[address] = true
			found = append(found, candidate{name: name, address: address})
		}
	}
	for name, known := range t.records {
		if known.member.GetState() == dead && !known.left {
			add(name, known.member.GetAddress())
		}
	}
	for _, address := range slices.Concat(t.settings.Seeds, t.vms.routers) {
		add("", address)
	}
	return found
}

// pushDeltas sends the newest deltas to some members immediately, in parallel.
func (d *Detector) pushDeltas(ctx context.Context) {
	d.mu.Lock()
	names := d.table.present("")
	d.mu.Unlock()
	var group errgroup.Group
	for _, name := range names[:min(len(names), pushMembers)] {
		group.Go(func() error { _ = d.Check(ctx, name); return nil })
	}
	_ = group.Wait()
}
