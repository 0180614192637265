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
	// Bucket maps a tier to the queue that its tickets wait in; lower buckets are served first.
	Bucket func(tier int) int
	// Before says which of two workspaces' flows is served first.
	Before func(a, b *flow) bool
	// ShedFirst says which of two workspaces loses its newest ticket first.
	ShedFirst func(a, b *account) bool
}

// OrderPolicies holds the queue orders by name.
var OrderPolicies = kernel.NewRegistry[OrderPolicy]("queue order")

func init() {
	OrderPolicies.Register(OrderTierFair, OrderPolicy{
		Bucket:    func(tier int) int { return min(max(tier, cataloguer.HighestTier), tiers-1) },
		Before:    lowerCounter,
		ShedFirst: func(a, b *account) bool { return a.finish() > b.finish() },
	})
	OrderPolicies.Register(OrderFIFO, OrderPolicy{
		Bucket: func(int) int { return 0 },
		Before: olderHead,
		ShedFirst: func(a, b *account) bool {
			x, _ := a.queued.top()
			y, _ := b.queued.top()
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

// olderHead compares flows by their oldest ticket; a flow that is being emptied sorts last.
func olderHead(a, b *flow) bool {
	x, y := a.first, b.first
	if x == nil || y == nil {
		return y == nil && x != nil
	}
	return older(x, y)
}
