package isolator

import "time"

// trialPause is how long poison is refused after a trial that showed nothing.
const trialPause = 5 * time.Second

// Verdict is the decision on a request.
type Verdict struct {
	// Trait is the poison fingerprint or part because of which the request is refused; 0 if it isn't refused.
	Trait uint64
	// RetryAfter is the time after which the request may be admitted.
	RetryAfter time.Duration
}

// Admit decides whether a request may run. After the retention of a poison fingerprint or part, one request at a time may
// test it; the others are refused until the engine has begun to answer that one.
func (i *Isolator) Admit(now time.Time, requestID string, traits Traits) Verdict {
	var tested []*suspect
	for _, trait := range append([]uint64{traits.Fingerprint}, traits.Parts...) {
		s := i.find(now, trait)
		switch {
		case s == nil || !s.poison || !s.appliesTo(traits):
		case s.refused(now):
			return Verdict{Trait: trait, RetryAfter: s.expires.Sub(now)}
		case s.trial != "" && s.trial != requestID:
			return Verdict{Trait: trait, RetryAfter: trialPause}
		default:
			tested = append(tested, s)
		}
	}
	for _, s := range tested {
		s.probation, s.trial = true, requestID
	}
	if len(tested) > 0 {
		i.trials[requestID] = tested
	}
	return Verdict{}
}

// EndTrial records that a request has ended. If it was a trial that showed nothing, the next one may follow after
// trialPause, since the evidence of a crash may still come.
func (i *Isolator) EndTrial(now time.Time, requestID string) {
	for _, s := range i.trials[requestID] {
		if s.trial == requestID {
			s.trial, s.expires = "", now.Add(trialPause)
		}
	}
	delete(i.trials, requestID)
}
