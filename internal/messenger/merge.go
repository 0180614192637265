package messenger

import (
	"slices"

	"coltsfootplank/internal/protocol"
)

// NewHolderOutbox returns the outbox of a holder's end of a Schedule stream. The receiver of a merged message applies
// cancels first, then adoptions, releases and tickets. Therefore merging a cancel removes the pending ticket that it
// cancels.
func NewHolderOutbox() *Outbox[protocol.HolderMessage] {
	return NewOutbox(mergeHolder)
}

// NewSchedulerOutbox returns the outbox of a scheduler's end of a Schedule stream.
func NewSchedulerOutbox() *Outbox[protocol.SchedulerMessage] {
	return NewOutbox(mergeScheduler)
}

func mergeHolder(into, from *protocol.HolderMessage) int {
	if from.GetHello() != nil {
		into.Hello = from.GetHello()
	}
	for _, id := range from.GetCancels() {
		into.Tickets = slices.DeleteFunc(into.Tickets, func(t *protocol.Ticket) bool { return t.GetRequestId() == id })
	}
	into.Cancels = append(into.Cancels, from.GetCancels()...)
	into.Releases = append(into.Releases, from.GetReleases()...)
	into.Tickets = append(into.Tickets, from.GetTickets()...)
	into.Adoptions = append(into.Adoptions, from.GetAdoptions()...)
	into.Heartbeat = into.Heartbeat || from.GetHeartbeat()
	return len(from.GetCancels()) + len(from.GetReleases()) + len(from.GetTickets()) + len(from.GetAdoptions())
}

func mergeScheduler(into, from *protocol.SchedulerMessage) int {
	into.Grants = append(into.Grants, from.GetGrants()...)
	into.Refusals = append(into.Refusals, from.GetRefusals()...)
	into.NotScheduler = append(into.NotScheduler, from.GetNotScheduler()...)
	if len(from.GetBacklogs()) > 0 {
		into.Backlogs = from.GetBacklogs()
	}
	into.Heartbeat = into.Heartbeat || from.GetHeartbeat()
	return len(from.GetGrants()) + len(from.GetRefusals()) + len(from.GetNotScheduler())
}
