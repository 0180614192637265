package detector

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

type stateCounts = map[protocol.MemberState]int

// TestCrash guards against a crashed member that keeps its roles, and against a member that loses them while it is only
// suspect.
func TestCrash(t *testing.T) {
	runWithNetwork(t, 8, func(t *testing.T, n *network) {
		n.setFrozen("m3", true)
		for range 120 {
			time.Sleep(100 * time.Millisecond)
			for _, d := range n.members {
				m, _ := d.View().Member("m3")
				eligible := slices.Contains(d.View().Eligible(), "m3")
				assert.Equal(t, eligible, m.State == alive || m.State == suspect)
			}
		}
		assert.DeepEqual(t, n.countStates("m3"), stateCounts{dead: 7})
		assert.Equal(t, n.countAlive("m0"), 7)
	})
}

// TestFrozenMemberReturns guards against a member that the others still consider dead after it resumes from a pause.
func TestFrozenMemberReturns(t *testing.T) {
	runWithNetwork(t, 8, func(t *testing.T, n *network) {
		n.setFrozen("m3", true)
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, n.countStates("m3"), stateCounts{dead: 7})
		n.setFrozen("m3", false)
		time.Sleep(5 * time.Second)
		for name := range n.members {
			assert.Equal(t, n.countAlive(name), 8, "as seen by %s", name)
		}
	})
}

// TestRestart guards against a restarted member that is considered dead because its earlier process is.
func TestRestart(t *testing.T) {
	runWithNetwork(t, 6, func(t *testing.T, n *network) {
		n.cancels["m3"]()
		n.setFrozen("m3", true)
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, n.countStates("m3"), stateCounts{dead: 5})
		n.setFrozen("m3", false)
		n.start("m3", Settings{Seeds: []string{"m0"}})
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, n.countStates("m3"), stateCounts{alive: 5})
	})
}

// TestOneWayCut guards against a member that is declared dead because a single other member can't reach it.
func TestOneWayCut(t *testing.T) {
	runWithNetwork(t, 6, func(t *testing.T, n *network) {
		n.setCut([]string{"m1"}, []string{"m2"}, false, true)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			assert.DeepEqual(t, n.countStates("m2"), stateCounts{alive: 5})
		}
	})
}

// TestLostMessages guards against running members that are declared dead on a network that loses some messages.
func TestLostMessages(t *testing.T) {
	runWithNetwork(t, 12, func(t *testing.T, n *network) {
		n.mu.Lock()
		n.loss = 0.05
		n.mu.Unlock()
		for range 120 {
			time.Sleep(time.Second)
			for name := range n.members {
				assert.Equal(t, n.countStates(name)[dead], 0, "%s is considered dead", name)
			}
		}
	})
}

// TestLeave guards against a leaving member that keeps its roles, and against a departed member that counts as failed.
func TestLeave(t *testing.T) {
	runWithNetwork(t, 8, func(t *testing.T, n *network) {
		n.members["m2"].Leave(context.Background())
		assert.Assert(t, !slices.Contains(n.members["m2"].View().Eligible(), "m2"))
		time.Sleep(1500 * time.Millisecond)
		assert.DeepEqual(t, n.countStates("m2"), stateCounts{leaving: 7})
		assert.Assert(t, !slices.Contains(n.members["m0"].View().Eligible(), "m2"))
		time.Sleep(30 * time.Second)
		assert.DeepEqual(t, n.countStates("m2"), stateCounts{leaving: 7})
		n.members["m2"].Depart(context.Background())
		n.setFrozen("m2", true)
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, n.countStates("m2"), stateCounts{dead: 7})
		m, _ := n.members["m0"].View().Member("m2")
		assert.Assert(t, m.Left)
	})
}

// TestLeavingMemberCrashes guards against a member that crashes during its planned stop and stays leaving forever.
func TestLeavingMemberCrashes(t *testing.T) {
	runWithNetwork(t, 6, func(t *testing.T, n *network) {
		n.members["m2"].Leave(context.Background())
		time.Sleep(2 * time.Second)
		n.setFrozen("m2", true)
		time.Sleep(15 * time.Second)
		assert.DeepEqual(t, n.countStates("m2"), stateCounts{dead: 5})
	})
}

// TestSilentMember guards against a member that counts as reachable at a router that it doesn't answer because others still
// reach it, and against one that stays silent after it answers again.
func TestSilentMember(t *testing.T) {
	runWithNetwork(t, 6, func(t *testing.T, n *network) {
		silent := func(observer string) bool {
			m, _ := n.members[observer].View().Member("m2")
			return m.Silent
		}
		n.setCut([]string{"m1"}, []string{"m2"}, true, true)
		assert.ErrorContains(t, n.members["m1"].Check(t.Context(), "m2"), "m2")
		assert.Assert(t, silent("m1"))
		time.Sleep(5 * time.Second)
		assert.Assert(t, silent("m1") && !silent("m3"))
		assert.Equal(t, n.members["m1"].View().AllowanceShare(func(m Member) bool { return !m.Silent }), 5.0/6)
		n.setCut([]string{"m1"}, []string{"m2"}, true, false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, !silent("m1"))
		assert.Equal(t, n.members["m1"].View().AllowanceShare(func(m Member) bool { return !m.Silent }), 1.0)
	})
}

// TestPartition guards against the two sides of a partition that never rejoin after it heals, and against the smaller
// side using the full capacity of the engines.
func TestPartition(t *testing.T) {
	runWithNetwork(t, 9, func(t *testing.T, n *network) {
		// The only seed is down, so that the sides must rejoin through the dead members in their tables.
		n.setFrozen("m0", true)
		small, large := []string{"m1", "m2"}, []string{"m3", "m4", "m5", "m6", "m7", "m8"}
		n.setCut(small, large, true, true)
		time.Sleep(30 * time.Second)
		assert.Equal(t, n.countAlive("m1"), 2)
		assert.Equal(t, n.countAlive("m3"), 6)
		assert.Equal(t, n.members["m1"].View().PartitionShare(), 2.0/9)
		assert.Equal(t, n.members["m3"].View().PartitionShare(), 1.0)
		n.setCut(small, large, true, false)
		time.Sleep(20 * time.Second)
		for _, name := range slices.Concat(small, large) {
			assert.Equal(t, n.countAlive(name), 8, "as seen by %s", name)
		}
	})
}

// TestDeadRetention guards against a table that grows with every replaced VM, and against dead members removed too
// early.
func TestDeadRetention(t *testing.T) {
	runWithNetwork(t, 4, func(t *testing.T, n *network) {
		n.setFrozen("m3", true)
		time.Sleep(14 * time.Minute)
		assert.Equal(t, len(n.members["m0"].View().Members), 4)
		time.Sleep(2 * time.Minute)
		for _, name := range []string{"m0", "m1", "m2"} {
			assert.Equal(t, len(n.members[name].View().Members), 3, "as seen by %s", name)
		}
	})
}

// TestVMList guards against routers without seeds that don't find each other through the VM list, and against VMs
// marked as leaving in the list that keep their roles or don't get them back when the mark is removed.
func TestVMList(t *testing.T) {
	runWithNetwork(t, 0, func(t *testing.T, n *network) {
		newVM := func(address, role string, state kernel.VMState) kernel.VM {
			return kernel.VM{Address: address, Role: role, State: state}
		}
		live := []kernel.VM{
			newVM("m0", "router", kernel.VMLive), newVM("m1", "router", kernel.VMLive), newVM("m2", "router", kernel.VMLive),
			newVM("gone", "router", kernel.VMLive), newVM("10.0.0.9", "engine", kernel.VMLive),
		}
		n.vms = live
		for _, name := range []string{"m0", "m1", "m2"} {
			n.start(name, Settings{VMList: endpoint{n, name}})
		}
		time.Sleep(20 * time.Second)
		for name := range n.members {
			assert.Equal(t, n.countAlive(name), 3)
		}
		n.mu.Lock()
		n.vms = append(slices.Clone(live[:1]),
			newVM("m1", "router", kernel.VMLeaving), live[2], newVM("10.0.0.9", "engine", kernel.VMLeaving))
		n.mu.Unlock()
		time.Sleep(2 * time.Second)
		for _, d := range n.members {
			assert.DeepEqual(t, d.View().Eligible(), []string{"m0", "m2"})
			assert.Assert(t, d.View().VMLeaving("10.0.0.9:8000"))
		}
		n.mu.Lock()
		n.vms = live
		n.mu.Unlock()
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, n.members["m1"].View().Eligible(), []string{"m0", "m1", "m2"})
	})
}

// TestGossipContent guards against convictions and catalogue revisions that don't reach all members, and against
// convictions that outlive their expiry.
func TestGossipContent(t *testing.T) {
	runWithNetwork(t, 10, func(t *testing.T, n *network) {
		n.members["m4"].SetCatalogue(7, 70)
		expires := time.Now().Add(time.Minute).UnixMilli()
		n.members["m4"].AddConvictions([]*protocol.Conviction{
			{Fingerprint: 1, Crashes: 2, ExpiresUnixMs: expires, Convicted: true},
		})
		n.members["m5"].AddConvictions([]*protocol.Conviction{{Fingerprint: 1, Crashes: 1, ExpiresUnixMs: expires}})
		time.Sleep(6 * time.Second)
		for name, d := range n.members {
			m, _ := d.View().Member("m4")
			assert.Equal(t, m.CatalogueOffset, int64(70), "as seen by %s", name)
			assert.Equal(t, len(d.View().Convictions), 1, "as seen by %s", name)
			assert.Assert(t, d.View().Convictions[0].GetConvicted())
			assert.Equal(t, d.View().Convictions[0].GetCrashes(), uint32(2))
		}
		time.Sleep(time.Minute)
		for _, d := range n.members {
			assert.Equal(t, len(d.View().Convictions), 0)
		}
	})
}

// TestCrashesOfSeveralMembers guards against crashes that several members know of being lost or counted twice, and against
// members that learn of them only seconds later.
func TestCrashesOfSeveralMembers(t *testing.T) {
	runWithNetwork(t, 6, func(t *testing.T, n *network) {
		expires := time.Now().Add(time.Minute).UnixMilli()
		for name, ids := range map[string][]uint64{"m1": {1, 2}, "m2": {2, 3}, "m3": {4}} {
			n.members[name].AddConvictions([]*protocol.Conviction{{Fingerprint: 9, Part: true, CrashIds: ids, ExpiresUnixMs: expires}})
		}
		time.Sleep(100 * time.Millisecond)
		for name, d := range n.members {
			assert.Equal(t, len(d.View().Convictions), 1, "as seen by %s", name)
			c := d.View().Convictions[0]
			assert.DeepEqual(t, c.GetCrashIds(), []uint64{1, 2, 3, 4})
			assert.Equal(t, c.GetCrashes(), uint32(4), "as seen by %s", name)
			assert.Assert(t, c.GetPart() && !c.GetConvicted())
		}
	})
}

// TestConvictionIsPushed guards against members that learn of a conviction, or of one that holds without other parts from
// now on, only seconds after it was made. Their schedulers would let more engines crash.
func TestConvictionIsPushed(t *testing.T) {
	runWithNetwork(t, 30, func(t *testing.T, n *network) {
		expires := time.Now().Add(time.Minute).UnixMilli()
		for _, together := range [][]uint64{{8}, nil} {
			n.members["m4"].AddConvictions([]*protocol.Conviction{
				{Fingerprint: 9, Part: true, Convicted: true, Together: together, ExpiresUnixMs: expires},
			})
			time.Sleep(100 * time.Millisecond)
			for name, d := range n.members {
				assert.Assert(t, len(d.View().Convictions) == 1, "as seen by %s", name)
				assert.DeepEqual(t, d.View().Convictions[0].GetTogether(), together)
			}
		}
	})
}
