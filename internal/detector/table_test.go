package detector

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/protocol"
)

func newTestTable(now time.Time) *table {
	return newTable(Settings{Name: "self", Address: "self"}.withDefaults(), now)
}

func row(name string, incarnation uint64, state protocol.MemberState) *protocol.Member {
	return &protocol.Member{Name: name, Address: name, Incarnation: incarnation, State: state}
}

// TestMergeOrder guards against outdated gossip that overwrites newer state.
func TestMergeOrder(t *testing.T) {
	cases := []struct {
		known, received *protocol.Member
		want            protocol.MemberState
	}{
		{row("m", 5, alive), row("m", 5, suspect), suspect},
		{row("m", 5, suspect), row("m", 5, alive), suspect},
		{row("m", 5, suspect), row("m", 6, alive), alive},
		{row("m", 5, leaving), row("m", 5, suspect), leaving},
		{row("m", 5, dead), row("m", 5, alive), dead},
		{row("m", 5, dead), row("m", 6, joining), joining},
		{row("m", 5, alive), row("m", 4, dead), alive},
	}
	for _, c := range cases {
		table := newTestTable(time.Now())
		table.merge(time.Now(), []*protocol.Member{row("m", 1, alive), c.known, c.received})
		assert.Equal(t, table.records["m"].member.GetState(), c.want, "%v then %v", c.known, c.received)
	}
}

// TestUnknownDead guards against routers that relearn dead members from each other after they have removed them.
func TestUnknownDead(t *testing.T) {
	table := newTestTable(time.Now())
	table.merge(time.Now(), []*protocol.Member{row("m", 1, dead)})
	assert.Equal(t, len(table.records), 0)
}

// TestRefute guards against a router that doesn't refute its own death or suspicion, or that stops leaving when it
// refutes.
func TestRefute(t *testing.T) {
	cases := []struct {
		own      protocol.MemberState
		received *protocol.Member
		want     uint64
	}{
		{alive, row("self", 100, suspect), 101},
		{leaving, row("self", 100, dead), 101},
		{alive, row("self", 100, alive), 100},
		{leaving, row("self", 100, suspect), 100},
		{alive, row("self", 99, dead), 100},
		{alive, row("self", 120, alive), 121},
	}
	for _, c := range cases {
		table := newTestTable(time.UnixMilli(100))
		table.updateSelf(func(m *protocol.Member) { m.State = c.own })
		table.merge(time.UnixMilli(100), []*protocol.Member{c.received})
		assert.Equal(t, table.self.GetIncarnation(), c.want, "%s received %v", c.own, c.received)
		assert.Equal(t, table.self.GetState(), c.own)
	}
}

// TestOwnPause guards against a router that was paused itself and then declares suspect members dead, although it
// couldn't receive their refutations.
func TestOwnPause(t *testing.T) {
	now := time.Now()
	table := newTestTable(now)
	table.merge(now, []*protocol.Member{row("m", 1, alive), row("m", 1, suspect)})
	now = now.Add(time.Minute)
	table.tick(now)
	assert.Equal(t, table.records["m"].member.GetState(), suspect)
	for range 2 {
		now = now.Add(time.Second)
		table.tick(now)
	}
	assert.Equal(t, table.records["m"].member.GetState(), dead)
}

// TestCorrection guards against a member that never learns that others consider it dead, because that row has already
// been sent as often as a delta is sent.
func TestCorrection(t *testing.T) {
	d := New(Settings{Name: "self", Address: "self"}, nil)
	gossip := func(rows ...*protocol.Member) *protocol.GossipResponse {
		response, err := d.Handle(t.Context(), &protocol.GossipRequest{From: rows[0], Members: rows[1:]})
		assert.NilError(t, err)
		return response
	}
	gossip(row("m", 1, alive))
	gossip(row("n", 1, alive), row("m", 1, dead))
	for range 50 {
		gossip(row("n", 1, alive))
	}
	assert.Equal(t, len(gossip(row("n", 1, alive)).GetMembers()), 0)
	assert.DeepEqual(t, gossip(row("m", 1, alive)).GetMembers(), []*protocol.Member{row("m", 1, dead)}, protocmp.Transform())
}

// TestProbeSize guards against probes that grow with the number of members, and against deltas that are never sent.
func TestProbeSize(t *testing.T) {
	now := time.Now()
	table := newTestTable(now)
	var convictions []*protocol.Conviction
	for i := range 410 {
		member := row(fmt.Sprintf("router-%03d.recife-1", i), uint64(now.UnixMilli()), alive)
		member.Address, member.DataCentre = "10.20.30.40:7400", "recife-1"
		member.CatalogueRevision, member.CatalogueOffset = 1<<30, 1<<40
		table.merge(now, []*protocol.Member{member})
		convictions = append(convictions, &protocol.Conviction{
			Fingerprint: uint64(i+1) << 50, Crashes: 3, Convicted: true, ExpiresUnixMs: now.Add(time.Hour).UnixMilli(),
		})
	}
	table.mergeConvictions(now, convictions)
	seen := make(map[string]bool)
	for range 100 {
		request := table.request("router-000.recife-1")
		assert.Assert(t, proto.Size(request) <= MaxProbeBytes, "%d bytes", proto.Size(request))
		for _, m := range request.GetMembers() {
			seen[m.GetName()] = true
		}
		for _, c := range request.GetConvictions() {
			seen[fmt.Sprint(c.GetFingerprint())] = true
		}
	}
	assert.Equal(t, len(seen), 820)
}
