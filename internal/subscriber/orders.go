package subscriber

import (
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
)

// applyOrders applies the newer orders of rollouts among records. Orders take effect before the publication that comes with
// them, so that a router that has just started sends no request without knowing them.
func (s *Subscriber) applyOrders(records []kernel.DirectoryRecord) {
	if s.options.Rollouts == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range records {
		known, ok := s.orders[record.Key]
		if ok && known.Position >= record.Position {
			continue
		}
		order, err := s.options.Rollouts.RolloutOrder(record)
		if err != nil {
			s.logger.Warn("ignoring a malformed order of a rollout", zap.Stringer("position", record.Position), zap.Error(err))
			continue
		}
		if order == nil {
			continue
		}
		s.orders[record.Key] = record
		s.options.ApplyOrder(*order, s.isReady)
		s.notifyFollowers()
	}
}

// missingOrders returns records that delete the known orders that are missing in records. These are the newest records of all
// keys that had one at position next. After the directory was restored from a copy, it returns none until operators have had time
// to write their orders again. Readers list the orders once more then.
func (s *Subscriber) missingOrders(records []kernel.DirectoryRecord, next kernel.Position) (deleted []kernel.DirectoryRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.lostUntil()) {
		return nil
	}
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key] = true
	}
	for key, known := range s.orders {
		if !present[key] && known.Value != nil && known.Position < next-1 {
			deleted = append(deleted, kernel.DirectoryRecord{Key: key, Position: next - 1})
		}
	}
	return deleted
}

// listOrdersAgain reports whether the orders have to be listed because the last listing in this era may have lacked some. Followers
// have heard of the restoration up to LapseGrace later.
func (s *Subscriber) listOrdersAgain(listedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.lostUntil().Add(s.options.LapseGrace)
	return len(s.orders) > 0 && !s.restoredAfter.IsZero() && listedAt.Before(due) && !time.Now().Before(due)
}

// listOrders returns the newest records of all orders.
func (s *Subscriber) listOrders() (orders []kernel.DirectoryRecord) {
	for _, record := range s.orders {
		orders = append(orders, record)
	}
	return orders
}

// unsentOrders returns the orders that a follower doesn't have yet and marks them as sent.
func (s *Subscriber) unsentOrders(sent map[string]kernel.Position) (orders []kernel.DirectoryRecord) {
	for key, record := range s.orders {
		// The keys of orders and upstreams may be equal; no upstream's name has a space.
		name := "order " + key
		if last, ok := sent[name]; !ok || last < record.Position {
			sent[name] = record.Position
			orders = append(orders, record)
		}
	}
	return orders
}
