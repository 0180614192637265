// Package accountant keeps one account of the memory that callers, peers and engines make a router keep.
package accountant

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Part is a part of the account.
type Part int

// Parts of the account. Each has a bound of its own where it is reserved.
const (
	// Connections are clients' connections, without heads.
	Connections Part = iota
	// Heads are unfinished heads, and those of requests in flight that needed more than one read.
	Heads
	// Bodies are the bodies of requests.
	Bodies
	// Buffers are what the buffers of connections that carry long bodies or answers take beyond the usual size.
	Buffers
	// Answers are long answers and events of engines.
	Answers
	parts
)

var partNames = [parts]string{Connections: "connections", Heads: "heads", Bodies: "bodies", Buffers: "buffers", Answers: "answers"}

// Accountant adds up the parts. It is safe for concurrent use, and a nil one counts nothing.
type Accountant struct {
	limit int64
	total atomic.Int64
	parts [parts]atomic.Int64
}

// New returns an accountant with a limit in bytes, which registers its metrics; a limit of 0 is none.
func New(limit int64, registry metrics.Registry) *Accountant {
	a := &Accountant{limit: limit}
	metrics.NewRegisteredFunctionalGauge("memory.limit", registry, func() int64 { return limit })
	metrics.NewRegisteredFunctionalGauge("memory.total", registry, a.total.Load)
	for part, name := range partNames {
		metrics.NewRegisteredFunctionalGauge("memory."+name, registry, a.parts[part].Load)
	}
	return a
}

// Add adds bytes to a part, or takes them from it if the number is negative. It doesn't check the limit.
func (a *Accountant) Add(part Part, bytes int64) {
	if a == nil || bytes == 0 {
		return
	}
	a.total.Add(bytes)
	a.parts[part].Add(bytes)
}

// Reserve adds bytes to a part, unless the total would exceed the limit. A reservation on an otherwise empty account succeeds.
func (a *Accountant) Reserve(part Part, bytes int64) bool {
	if a == nil {
		return true
	}
	if total := a.total.Add(bytes); a.limit > 0 && total > a.limit && total != bytes {
		a.total.Add(-bytes)
		return false
	}
	a.parts[part].Add(bytes)
	return true
}

// Full reports whether the limit is reached.
func (a *Accountant) Full() bool { return a != nil && a.limit > 0 && a.total.Load() >= a.limit }
