package generator

// Stats count the work of an engine over all its instances.
type Stats struct {
	Runs             int `json:"runs"`
	RunsWhileLeaving int `json:"runs_while_leaving"`
	// LastRunLeavingMS is the time from the start of leaving to the start of the last run after it.
	LastRunLeavingMS int64 `json:"last_run_leaving_ms"`
	Finished         int   `json:"finished"`
	Cancelled        int   `json:"cancelled"`
	Lost             int   `json:"lost"`
	Rejected         int   `json:"rejected"`
	Resumes          int   `json:"resumes"`
	Crashes          int   `json:"crashes"`
	Tokens           int   `json:"tokens"`
	// PrefillComputed counts the prompt tokens computed, PrefillWasted those of streams that weren't delivered in
	// full, PrefillRecomputed those that an engine had already computed before.
	PrefillComputed   int `json:"prefill_computed"`
	PrefillWasted     int `json:"prefill_wasted"`
	PrefillRecomputed int `json:"prefill_recomputed"`
	PrefillCached     int `json:"prefill_cached"`
	OrdersAccepted    int `json:"orders_accepted"`
	OrdersRefused     int `json:"orders_refused"`
}

// Add adds the counters of another engine. LastRunLeavingMS becomes the maximum of both.
func (s *Stats) Add(other Stats) {
	s.Runs += other.Runs
	s.RunsWhileLeaving += other.RunsWhileLeaving
	s.LastRunLeavingMS = max(s.LastRunLeavingMS, other.LastRunLeavingMS)
	s.Finished += other.Finished
	s.Cancelled += other.Cancelled
	s.Lost += other.Lost
	s.Rejected += other.Rejected
	s.Resumes += other.Resumes
	s.Crashes += other.Crashes
	s.Tokens += other.Tokens
	s.PrefillComputed += other.PrefillComputed
	s.PrefillWasted += other.PrefillWasted
	s.PrefillRecomputed += other.PrefillRecomputed
	s.PrefillCached += other.PrefillCached
	s.OrdersAccepted += other.OrdersAccepted
	s.OrdersRefused += other.OrdersRefused
}
