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
	// pushMembers is the number of members told directly of a planned stop.
	pushMembers = 8
	// joinInterval is the time between the exchanges of a router that has just started. Each doubles what it knows, so
	// that some hundred routers that start together know each other within a second.
	joinInterval = 100 * time.Millisecond
	// joinTime bounds these exchanges; members that are there answer within some milliseconds.
	joinTime = 3 * time.Second
)

// probeLoop probes one member and one candidate each interval. The probes run in group, since one that isn't
// answered takes most of an interval.
func (d *Detector) probeLoop(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(d.settings.ProbeInterval)
	defer ticker.Stop()
	// A random part of the first interval keeps routers that start together from syncing together.
	nextSync := time.Now().Add(rand.N(d.settings.SyncInterval))
	group.Go(func() error { return d.join(ctx, group) })
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		var suspected []string
		d.update(func(now time.Time, t *table) {
			t.tick(now)
			suspected = t.suspected(now)
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

// join exchanges whole tables with candidates for joinTime.
func (d *Detector) join(ctx context.Context, group *errgroup.Group) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for began := time.Now(); time.Since(began) < joinTime && !d.departed.Load(); {
		group.Go(func() error { d.contactCandidate(ctx, true); return nil })
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// nextTarget goes through the members in random order, each once a round, so that the time until a member is probed
// is bounded.
func (d *Detector) nextTarget() (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for refilled := false; ; {
		for len(d.round) > 0 {
			name := d.round[0]
			d.round = d.round[1:]
			if known, ok := d.table.records[name]; ok && known.member.GetState() != dead {
				return name, true
			}
		}
		if refilled {
			return "", false
		}
		d.round, refilled = d.table.present(""), true
	}
}

// present returns the members that aren't dead in random order, without one.
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

// probe checks a member directly, then through others, and suspects it when no probe is answered.
func (d *Detector) probe(ctx context.Context, name string, full bool) {
	member, ok := d.View().Member(name)
	if !ok {
		return
	}
	err := d.exchange(ctx, name, member.Address, full)
	if err == nil || d.probeThroughOthers(ctx, name) || ctx.Err() != nil {
		return
	}
	d.settings.Logger.Info("member did not answer", zap.Error(&NoAnswerError{Member: name, Cause: err}))
	d.update(func(now time.Time, t *table) { t.suspect(now, name, member.Incarnation) })
}

// Check probes a member directly, once. Errors: *UnknownMemberError, *NoAnswerError.
func (d *Detector) Check(ctx context.Context, name string) error {
	member, ok := d.View().Member(name)
	if !ok {
		return &UnknownMemberError{Member: name}
	}
	if err := d.exchange(ctx, name, member.Address, false); err != nil {
		return &NoAnswerError{Member: name, Cause: err}
	}
	return nil
}

// exchange sends a probe to a router and applies the answer. name is "" when only the address is known.
func (d *Detector) exchange(ctx context.Context, name, address string, full bool) error {
	var request *protocol.GossipRequest
	d.update(func(_ time.Time, t *table) { request = t.request(name) })
	request.Full = full
	return d.send(ctx, name, address, request, d.settings.ProbeTimeout)
}

// send delivers a probe and applies the answer. An answer by another process than the named one, at an address
// that was reused, is no sign of life of that member.
func (d *Detector) send(ctx context.Context, name, address string, request *protocol.GossipRequest, timeout time.Duration) error {
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

// probeThroughOthers asks other members to probe one. The callee's own probe needs ProbeTimeout, hence twice that
// here.
func (d *Detector) probeThroughOthers(ctx context.Context, name string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mu.Lock()
	others := d.table.present(name)
	d.mu.Unlock()
	others = others[:min(len(others), indirectProbes)]
	var group errgroup.Group
	answered := make([]bool, len(others))
	for i, other := range others {
		group.Go(func() error {
			helper, _ := d.View().Member(other)
			request := &protocol.GossipRequest{ProbeTarget: name}
			d.update(func(_ time.Time, t *table) { request.From = t.self })
			if d.send(ctx, other, helper.Address, request, 2*d.settings.ProbeTimeout) == nil {
				answered[i] = true
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
	return slices.Contains(answered, true)
}

// contactCandidate probes one address that may be a router but isn't known as a running one: from the VM list, the
// seeds, or a member held for dead. The latter joins the two sides after a partition. Without any known
// member, or if full is set, it asks for the whole table.
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

type candidate struct{ name, address string }

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

// push sends the newest deltas to some members at once.
func (d *Detector) push(ctx context.Context) {
	d.mu.Lock()
	names := d.table.present("")
	d.mu.Unlock()
	var group errgroup.Group
	for _, name := range names[:min(len(names), pushMembers)] {
		group.Go(func() error { _ = d.Check(ctx, name); return nil })
	}
	_ = group.Wait()
}
