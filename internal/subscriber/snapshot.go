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
	// Held is the lowest position of a record that the sender holds back, nil if there is none.
	Held *kernel.Position `json:"held,omitempty"`
	// Consulted reports whether the sender has asked a peer in this era what the directory's copy may lack.
	Consulted bool `json:"consulted,omitempty"`
	// Left are the upstreams among those that Upstreams states to be gone whose registration was removed while the sender could read
	// the directory, so that it can't have lapsed in an outage.
	Left []string `json:"left,omitempty"`
	// Stamps are the newest stamps of the upstreams that Upstreams states to be gone.
	Stamps map[string]stamp `json:"stamps,omitempty"`
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
	state := snapshot{Publication: s.publication, Orders: s.listOrders(), OrdersNext: s.ordersNext}
	s.statePosition(&state)
	if s.registrationsKnown {
		state.Registered, state.Consulted = s.table.registered(), s.consulted == s.era
	}
	for _, known := range s.table.entries {
		state.add(known)
	}
	data, err := json.Marshal(state)
	if err != nil {
		s.logger.Error("encoding the snapshot failed", zap.Error(err))
		return nil, 0, 0
	}
	return data, s.version(), s.table.changed
}

// statePosition states in a snapshot up to where it holds every change.
func (s *Subscriber) statePosition(state *snapshot) {
	state.Next = s.table.next
	if settled := s.table.settled(); settled < state.Next {
		state.Held = &settled
	}
}

// add adds the record of an upstream, and the stamp that a record of a removal lacks.
func (state *snapshot) add(known *entry) {
	state.Upstreams = append(state.Upstreams, known.record)
	if known.record.Value == nil && !known.lapsed {
		state.Left = append(state.Left, known.record.Key)
	}
	if known.record.Value == nil && known.stamp != (stamp{}) {
		if state.Stamps == nil {
			state.Stamps = make(map[string]stamp)
		}
		state.Stamps[known.record.Key] = known.stamp
	}
}

// ApplySnapshot applies the records of a peer's snapshot that are newer than the known ones. Of a peer that hasn't heard of the
// last restoration of the directory, only the publication is used. Errors: *kernel.MalformedRecordError.
func (s *Subscriber) ApplySnapshot(data []byte) error { return s.applySnapshot(data, false) }

// applySnapshot is ApplySnapshot. consulted reports whether the peer was asked what the directory's copy may lack.
func (s *Subscriber) applySnapshot(data []byte, consulted bool) error {
	var state snapshot
	if err := json.Unmarshal(data, &state); err != nil {
		return &kernel.MalformedRecordError{Key: "snapshot", Cause: err}
	}
	outdated := s.outdated(state)
	if !outdated {
		s.applyOrdersOf(state)
	}
	if state.Publication.Value != nil {
		s.publish(state.Publication, sourcePeer)
	}
	if !outdated {
		state.Consulted = state.Consulted || consulted
		s.applyRegistrations(state, false)
	}
	return nil
}

// applyOrdersOf applies the orders of a peer's state.
func (s *Subscriber) applyOrdersOf(state snapshot) {
	s.applyOrders(state.Orders)
	if state.Registered != nil {
		s.applyOrders(s.missingOrders(state.Orders, state.OrdersNext))
	}
}
