package subscriber

import (
	"encoding/json"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
)

// snapshot is the state that a router passes to peers that don't read the directory themselves.
type snapshot struct {
	Publication kernel.DirectoryRecord   `json:"publication"`
	Upstreams   []kernel.DirectoryRecord `json:"upstreams"`
	// Registered holds the names of all upstreams that are registered; nil if it isn't stated. The peer may not have heard
	// that another one was removed, and the sender may have forgotten it since.
	Registered []string `json:"registered"`
	// Next is the position up to which Upstreams and what the peer had before hold every change.
	Next kernel.Position `json:"next"`
	// Orders are the orders of rollouts, all that the sender knows if Registered is stated. OrdersNext is the position up to which
	// it has read them.
	Orders     []kernel.DirectoryRecord `json:"orders,omitempty"`
	OrdersNext kernel.Position          `json:"orders_next"`
}

// Snapshot returns the encoded newest records for a peer, the version of the publication and the position of the
// last registration that changed.
func (s *Subscriber) Snapshot() (data []byte, version uint64, position kernel.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := snapshot{Publication: s.publication, Next: s.table.next, Orders: s.listOrders(), OrdersNext: s.ordersNext}
	if s.registrationsKnown {
		state.Registered = s.table.registered()
	}
	for _, known := range s.table.entries {
		state.Upstreams = append(state.Upstreams, known.record)
	}
	data, err := json.Marshal(state)
	if err != nil {
		s.logger.Error("encoding the snapshot failed", zap.Error(err))
		return nil, 0, 0
	}
	return data, s.version(), s.table.changed
}

// ApplySnapshot applies the records of a peer's snapshot that are newer than the known ones. Errors:
// *kernel.MalformedRecordError.
func (s *Subscriber) ApplySnapshot(data []byte) error {
	var state snapshot
	if err := json.Unmarshal(data, &state); err != nil {
		return &kernel.MalformedRecordError{Key: "snapshot", Cause: err}
	}
	s.applyOrdersOf(state)
	if state.Publication.Value != nil {
		s.publish(state.Publication, sourcePeer)
	}
	s.applyRegistrations(state)
	return nil
}

// applyOrdersOf applies the orders of a peer's state.
func (s *Subscriber) applyOrdersOf(state snapshot) {
	s.applyOrders(state.Orders)
	if state.Registered != nil {
		s.applyOrders(s.missingOrders(state.Orders, state.OrdersNext))
	}
}
