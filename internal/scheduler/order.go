package scheduler

import (
	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/kernel"
)

// Names of the queue orders.
const (
	OrderTierFair = "tier_fair"
	OrderFIFO     = "fifo"
)

// OrderPolicy is a queue order.
type OrderPolicy struct {
	// Bucket maps a tier to the index of the bucket that its tickets wait in; lower buckets are served first.
	Bucket func(tier int) int
	// Before reports whether flow a is served before flow b.
	Before func(a, b *flow) bool
	// ShedFirst reports whether workspace a loses its newest ticket before workspace b does.
	ShedFirst func(a, b *account) bool
}

// OrderPolicies holds the queue orders by name.
var OrderPolicies = kernel.NewRegistry[OrderPolicy]("queue order")

func init() {
	OrderPolicies.Register(OrderTierFair, OrderPolicy{
		Bucket:    func(tier int) int { return min(max(tier, cataloguer.HighestTier), tierCount-1) },
		Before:    lowerCounter,
		ShedFirst: func(a, b *account) bool { return a.virtualFinish() > b.virtualFinish() },
	})
	OrderPolicies.Register(OrderFIFO, OrderPolicy{
		Bucket: func(int) int { return 0 },
		Before: olderHead,
		ShedFirst: func(a, b *account) bool {
			x, _ := a.queue.top()
			y, _ := b.queue.top()
			return x != nil && (y == nil || newer(x, y))
		},
	})
}

func lowerCounter(a, b *flow) bool {
	if a.account.counter != b.account.counter {
		return a.account.counter < b.account.counter
	}
	return olderHead(a, b)
}

// olderHead reports whether the oldest ticket of flow a is older than that of flow b; a flow without tickets sorts
// last.
func olderHead(a, b *flow) bool {
	x, y := a.head, b.head
	if x == nil || y == nil {
		return y == nil && x != nil
	}
	return older(x, y)
}
