package scheduler

import (
	"time"

	"coltsfootplank/internal/kernel"
)

// Names of the engine choices.
const (
	ChoiceExpectedFirstToken = "expected_first_token"
	ChoiceRandom             = "random"
	ChoiceLeastLoaded        = "least_loaded"
)

// EngineChoice is a policy that returns an engine for the ticket, or nil if no engine admits it.
type EngineChoice func(engines *engineSet, r *request) *engine

// EngineChoices holds the engine choices by name.
var EngineChoices = kernel.NewRegistry[EngineChoice]("engine choice")

func init() {
	EngineChoices.Register(ChoiceExpectedFirstToken, chooseExpectedFirstToken)
	EngineChoices.Register(ChoiceRandom, chooseRandom)
	EngineChoices.Register(ChoiceLeastLoaded, chooseLeastLoaded)
}

// maxVisitedEngines bounds the engines of one generation that are compared once a candidate has been found. The heap is
// ordered by the work ahead, so the best engine is nearly always among the first few.
const maxVisitedEngines = 16

// chooseExpectedFirstToken returns the engine with the smallest expected time to first token, including the cost of a
// new connection. An urgent ticket goes to an engine that hasn't been tried only if no other one admits it.
func chooseExpectedFirstToken(engines *engineSet, r *request) *engine {
	var best *engine
	var bestTime float64
	bestTried := false
	consider := func(e *engine) {
		if e.admits(r) != blockNone {
			return
		}
		tried := !engines.avoidsUntried(r) || e.pace.Tried()
		if bestTried && !tried {
			return
		}
		t := e.expectedFirstToken(r, engines.now) + engines.connections.cost(r.holder, e, engines.now) + e.queueCost()
		if best == nil || tried && !bestTried || t < bestTime || t == bestTime && e.info.Name < best.info.Name {
			best, bestTime, bestTried = e, t, tried
		}
	}
	index := engines.openIndex(r)
	for _, generation := range engines.generationList {
		// The items at the front of a heap's slice are those with the least work ahead.
		for i, e := range generation.open[index].data.items {
			if i >= maxVisitedEngines && bestTried {
				break
			}
			consider(e)
		}
	}
	engines.prefixes.candidates(r, consider)
	engines.connections.candidates(r.holder, engines.now, consider)
	return best
}

// expectedFirstToken returns the expected time to first token in seconds: the work ahead of the request plus its own
// prefill.
func (e *engine) expectedFirstToken(r *request, now time.Time) float64 {
	return e.stretch(e.decodeAhead+e.prefillAhead(now)+e.prefillTime(r), now)
}

// chooseRandom returns a random engine that admits the ticket.
func chooseRandom(engines *engineSet, r *request) *engine {
	n := len(engines.list)
	if n == 0 {
		return nil
	}
	start := engines.random.IntN(n)
	for i := range n {
		if e := engines.list[(start+i)%n]; e.admits(r) == blockNone {
			return e
		}
	}
	return nil
}

// chooseLeastLoaded returns the engine with the fewest requests in flight.
func chooseLeastLoaded(engines *engineSet, r *request) *engine {
	var best *engine
	for _, e := range engines.list {
		if e.admits(r) == blockNone && (best == nil || len(e.granted) < len(best.granted)) {
			best = e
		}
	}
	return best
}
