package extrapolator

import (
	"context"
	"time"

	"coltsfootplank/internal/detector"
	"coltsfootplank/internal/protocol"
)

const (
	// steadyTime is the time over which the steady state is measured: one exchange of full tables for each member.
	steadyTime = time.Minute
	// forgetTime stands in for the detector's 15 min, to save time: after it a partition can end only through the
	// VM list, as after an hour with the product's own setting.
	forgetTime = 2 * time.Minute
	// drainTime is how long the members get, for each of them, to spread the rows of the common start.
	drainTime = 750 * time.Millisecond
	// stateLimit bounds the wait for one state.
	stateLimit = 10 * time.Minute
	// latency is the time of a message between two members.
	latency = time.Millisecond
	// pollStates is the time between two looks at all views, and so the resolution of the times.
	pollStates = 200 * time.Millisecond
)

func memberSettings() detector.Settings {
	return detector.Settings{Seeds: []string{memberName(0)}, DeadRetention: forgetTime}
}

// episode is what the members sent during a time of the product, all members together.
type episode struct {
	seconds  float64
	messages float64
	bytes    float64
	cpu      float64
}

func (n *network) watch(work func() error) (episode, error) {
	messages, bytes := n.messages.Load(), n.bytes.Load()
	c, err := spent(work)
	return episode{
		seconds: c.wall.Seconds(), messages: float64(n.messages.Load() - messages),
		bytes: float64(n.bytes.Load() - bytes), cpu: c.cpu.Seconds(),
	}, err
}

// membershipRun is the result at one number of members. Times are in seconds of the product.
type membershipRun struct {
	members  int
	memory   float64
	steady   episode
	crash    episode
	replaced episode
	centre   episode
	parted   episode
	reunion  episode
	falsely  int
}

// runMembership runs the life of a cluster: steady state, a crash, planned replacements, a lost data centre, a
// partition in two halves and its end.
func runMembership(ctx context.Context, count int) (membershipRun, error) {
	run := membershipRun{members: count}
	err := virtually(func() error { return run.live(ctx) })
	return run, err
}

func (r *membershipRun) live(ctx context.Context) error {
	count := r.members
	base := memory()
	n := newNetwork()
	defer n.close()
	var names []string
	for i := range count {
		names = append(names, memberName(i))
		n.start(names[i], memberSettings())
	}
	if err := waitUntil(pollStates, stateLimit, "all members know each other", func() bool { return n.agreed(names, names, alive) }); err != nil {
		return err
	}
	time.Sleep(time.Duration(count) * drainTime)
	r.memory = (memory() - base) / float64(count)
	r.steady, _ = n.watch(func() error {
		time.Sleep(steadyTime)
		return nil
	})
	r.falsely = n.notAlive(names)
	if err := ctx.Err(); err != nil {
		return Error.Wrap(err)
	}
	return r.faults(n, names)
}

// faults runs the episodes after the steady state.
func (r *membershipRun) faults(n *network, names []string) error {
	lost, left := names[len(names)-1:], names[:len(names)-1]
	var err error
	r.crash, err = n.watch(func() error {
		n.stop(lost)
		return waitUntil(pollStates, stateLimit, "all hold the crashed member for dead", func() bool { return n.agreed(left, lost, dead) })
	})
	if err != nil {
		return err
	}
	out, in := left[len(left)-1], memberName(len(names))
	left = append(append([]string{}, left[:len(left)-1]...), in)
	r.replaced, err = n.watch(func() error {
		n.members[out].Leave(context.Background())
		n.start(in, memberSettings())
		n.members[out].Depart(context.Background())
		n.stop([]string{out})
		return waitUntil(pollStates, stateLimit, "all know the replacement", func() bool { return n.agreed(left, []string{in}, alive) })
	})
	if err != nil {
		return err
	}
	cut := len(left) / scaleDataCentres
	centre, left := left[:cut], left[cut:]
	r.centre, err = n.watch(func() error {
		n.stop(centre)
		return waitUntil(pollStates, stateLimit, "all hold the data centre for dead", func() bool { return n.agreed(left, centre, dead) })
	})
	if err != nil {
		return err
	}
	return r.partition(n, left)
}

func (r *membershipRun) partition(n *network, names []string) error {
	one, two := names[:len(names)/2], names[len(names)/2:]
	n.place(two, 1)
	var err error
	r.parted, err = n.watch(func() error {
		return waitUntil(pollStates, stateLimit, "both sides hold each other for dead", func() bool {
			return n.agreed(one, two, dead) && n.agreed(two, one, dead)
		})
	})
	if err != nil {
		return err
	}
	time.Sleep(forgetTime + time.Minute)
	r.reunion, err = n.watch(func() error {
		n.place(two, 0)
		return waitUntil(pollStates, stateLimit, "the sides know each other again", func() bool { return n.agreed(names, names, alive) })
	})
	return err
}

const (
	alive = protocol.MemberState_MEMBER_STATE_ALIVE
	dead  = protocol.MemberState_MEMBER_STATE_DEAD
)

// agreed says whether all observers hold all subjects for alive, or for dead or forgotten.
func (n *network) agreed(observers, subjects []string, state protocol.MemberState) bool {
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

// notAlive counts the pairs of members of which one holds the other for something else than alive.
func (n *network) notAlive(names []string) int {
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
