package claimer

// counts are totals since the start of the process.
type counts struct {
	Won           uint64 `json:"won"`
	WonInMemory   uint64 `json:"won_in_memory"`
	LostInMemory  uint64 `json:"lost_in_memory"`
	VoidedLate    uint64 `json:"voided_late"`
	Appends       uint64 `json:"appends"`
	FailedAppends uint64 `json:"failed_appends"`
}

// dump is the claimer's section of the state dump.
type dump struct {
	Next        int64  `json:"next"`
	Healthy     bool   `json:"healthy"`
	CaughtUp    bool   `json:"caught_up"`
	LagMS       int64  `json:"lag_ms"`
	Scopes      int    `json:"scopes"`
	Waiting     int    `json:"waiting"`
	Claims      int    `json:"claims_queued"`
	Stores      int    `json:"stores_queued"`
	WindowMS    int64  `json:"window_ms"`
	GapExists   bool   `json:"gap_exists"`
	GapBeforeMS int64  `json:"gap_before_unix_ms,omitempty"`
	Counts      counts `json:"counts"`
}

// Dump returns the claimer's section of the state dump.
func (c *Claimer) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := dump{
		Next:      c.follower.Next(),
		Healthy:   c.follower.Healthy(),
		CaughtUp:  c.follower.CaughtUp(),
		LagMS:     c.follower.Lag().Milliseconds(),
		Scopes:    len(c.fold.scopes),
		Waiting:   len(c.waiters),
		Claims:    len(c.claims),
		Stores:    len(c.mandatoryEntries),
		WindowMS:  c.currentBatchWindow().Milliseconds(),
		GapExists: c.gap.exists,
		Counts:    c.counts,
	}
	if c.gap.exists {
		d.GapBeforeMS = c.gap.before.UnixMilli()
	}
	return d
}
