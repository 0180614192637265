package extrapolator

import (
	"context"
	"time"

	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/protocol"
)

const (
	// steadyDuration is how long the steady state is measured. It covers one exchange of full tables for each member.
	steadyDuration = time.Minute
	// deadRetention is shorter than the detector's default of 15 min, to save time. Once it has passed, the two sides of a
	// partition can find each other only through the VM list, as after a partition of an hour with the default.
	deadRetention = 2 * time.Minute
	// settleTimePerMember, times the number of members, is how long the rows of the simultaneous start may spread before
	// the steady state is measured.
	settleTimePerMember = 750 * time.Millisecond
	// stateTimeout limits the wait until the views of all members show an expected state.
	stateTimeout = 10 * time.Minute
	// messageLatency is the delay of a message between two members.
	messageLatency = time.Millisecond
	// viewPollInterval is the interval between checks of all views, and so the resolution of the measured times.
	viewPollInterval = 200 * time.Millisecond
)

// memberSettings returns the settings that all members share. The first member is the seed.
func memberSettings() detector.Settings {
	return detector.Settings{Seeds: []string{memberName(0)}, DeadRetention: deadRetention}
}

// phaseCost is the duration of one phase of a run in virtual seconds, with the messages, bytes and CPU seconds of all
// members together.
type phaseCost struct {
	seconds  float64
	messages float64
	bytes    float64
	cpu      float64
}

func (n *network) measurePhase(work func() error) (phaseCost, error) {
	messages, bytes := n.messages.Load(), n.bytes.Load()
	c, err := measureCost(work)
	return phaseCost{
		seconds: c.wall.Seconds(), messages: float64(n.messages.Load() - messages),
		bytes: float64(n.bytes.Load() - bytes), cpu: c.cpu.Seconds(),
	}, err
}

// membershipRun runs one cluster through several phases and holds the results. memory is in bytes per member;
// notAlivePairs counts the wrong entries in the views after the steady phase.
type membershipRun struct {
	members        int
	memory         float64
	steady         phaseCost
	crash          phaseCost
	replacement    phaseCost
	dataCentreLoss phaseCost
	partition      phaseCost
	heal           phaseCost
	notAlivePairs  int
}

// measureMembership runs a cluster through a steady state, a crash, a planned replacement, the loss of a data centre, a
// partition into two halves and its end.
func measureMembership(ctx context.Context, count int) (membershipRun, error) {
	run := membershipRun{members: count}
	err := runInVirtualTime(func() error { return run.execute(ctx) })
	return run, err
}

func (r *membershipRun) execute(ctx context.Context) error {
	count := r.members
	base := memoryInUse()
	n := newNetwork()
	defer n.close()
	var names []string
	for i := range count {
		names = append(names, memberName(i))
		n.start(names[i], memberSettings())
	}
	if err := waitUntil(viewPollInterval, stateTimeout, "all members see each other as alive", func() bool { return n.viewsAgree(names, names, alive) }); err != nil {
		return err
	}
	time.Sleep(time.Duration(count) * settleTimePerMember)
	r.memory = (memoryInUse() - base) / float64(count)
	r.steady, _ = n.measurePhase(func() error {
		time.Sleep(steadyDuration)
		return nil
	})
	r.notAlivePairs = n.countNotAlive(names)
	if err := ctx.Err(); err != nil {
		return Error.Wrap(err)
	}
	return r.runFaults(n, names)
}

// runFaults runs the phases after the steady state.
func (r *membershipRun) runFaults(n *network, names []string) error {
	crashed, remaining := names[len(names)-1:], names[:len(names)-1]
	var err error
	r.crash, err = n.measurePhase(func() error {
		n.stop(crashed)
		return waitUntil(viewPollInterval, stateTimeout, "all members see the crashed member as dead", func() bool { return n.viewsAgree(remaining, crashed, dead) })
	})
	if err != nil {
		return err
	}
	leaving, joining := remaining[len(remaining)-1], memberName(len(names))
	remaining = append(append([]string{}, remaining[:len(remaining)-1]...), joining)
	r.replacement, err = n.measurePhase(func() error {
		n.members[leaving].Leave(context.Background())
		n.start(joining, memberSettings())
		n.members[leaving].Depart(context.Background())
		n.stop([]string{leaving})
		return waitUntil(viewPollInterval, stateTimeout, "all members see the replacement as alive", func() bool { return n.viewsAgree(remaining, []string{joining}, alive) })
	})
	if err != nil {
		return err
	}
	lostCount := len(remaining) / scaleDataCentres
	lostMembers, remaining := remaining[:lostCount], remaining[lostCount:]
	r.dataCentreLoss, err = n.measurePhase(func() error {
		n.stop(lostMembers)
		return waitUntil(viewPollInterval, stateTimeout, "all members see the lost data centre as dead", func() bool { return n.viewsAgree(remaining, lostMembers, dead) })
	})
	if err != nil {
		return err
	}
	return r.partitionAndHeal(n, remaining)
}

func (r *membershipRun) partitionAndHeal(n *network, names []string) error {
	firstHalf, secondHalf := names[:len(names)/2], names[len(names)/2:]
	n.setSide(secondHalf, 1)
	var err error
	r.partition, err = n.measurePhase(func() error {
		return waitUntil(viewPollInterval, stateTimeout, "both sides of the partition see each other as dead", func() bool {
			return n.viewsAgree(firstHalf, secondHalf, dead) && n.viewsAgree(secondHalf, firstHalf, dead)
		})
	})
	if err != nil {
		return err
	}
	time.Sleep(deadRetention + time.Minute)
	r.heal, err = n.measurePhase(func() error {
		n.setSide(secondHalf, 0)
		return waitUntil(viewPollInterval, stateTimeout, "both sides of the partition see each other as alive", func() bool { return n.viewsAgree(names, names, alive) })
	})
	return err
}

const (
	alive = protocol.MemberState_MEMBER_STATE_ALIVE
	dead  = protocol.MemberState_MEMBER_STATE_DEAD
)

// viewsAgree reports whether all observers see all subjects in the given state. A subject that is missing from a view
// counts as dead.
func (n *network) viewsAgree(observers, subjects []string, state protocol.MemberState) bool {
	for _, observer := range observers {
		n.mu.RLock()
		d := n.members[observer]
		n.mu.RUnlock()
		view := d.View()
		for _, subject := range subjects {
			m, known := view.Member(subject)
			if state == dead && !known {
				continue
			}
			if m.State != state {
				return false
			}
		}
	}
	return true
}

// countNotAlive counts the pairs of members of which the first doesn't see the second as alive.
func (n *network) countNotAlive(names []string) int {
	count := 0
	for _, observer := range names {
		view := n.members[observer].View()
		for _, subject := range names {
			if m, _ := view.Member(subject); m.State != alive {
				count++
			}
		}
	}
	return count
}
