package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Request is one planned request.
type Request struct {
	// At is the time of arrival since the start.
	At        time.Duration
	Work      *Work
	Workspace *Workspace
	// Routers holds the indexes of the routers' addresses in the random order in which they are tried.
	Routers []int
	// Prefix is the shared prefix of the prompt, and Prompt is the rest.
	Prefix, Prompt string
	OutputTokens   int
	// Reference is a text that is unique within the plan.
	Reference string
}

// Plan generates requests in order of arrival. It is not safe for concurrent use.
type Plan struct {
	settings *Settings
	random   *rand.Rand
	prompts  *promptGenerator
	sequence int
	phase    int
	// now is the time of the last arrival; phaseEnd is the end of the current phase. Both count from the start.
	now, phaseEnd time.Duration
}

// New returns a plan for the settings.
func New(settings *Settings) *Plan {
	return &Plan{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, 0)),
		prompts:  newPromptGenerator(settings.Seed),
		phaseEnd: settings.Phases[0].Duration,
	}
}

// Next returns the next request, or false after the last phase.
func (p *Plan) Next() (Request, bool) {
	for {
		gap := p.random.ExpFloat64() / p.settings.Phases[p.phase].Rate
		at := p.now + time.Duration(gap*float64(time.Second))
		if at < p.phaseEnd {
			p.now = at
			return p.request(nil, nil), true
		}
		// Poisson arrivals are memoryless, so that the time to the first arrival of the next phase can be drawn from the
		// beginning of that phase.
		p.now = p.phaseEnd
		p.phase++
		if p.phase == len(p.settings.Phases) {
			return Request{}, false
		}
		p.phaseEnd += p.settings.Phases[p.phase].Duration
	}
}

// Sample returns one request of the given kind of work.
func (p *Plan) Sample(work *Work) Request { return p.request(work, nil) }

func (p *Plan) request(work *Work, workspace *Workspace) Request {
	if work == nil {
		work = weightedChoice(p.random, p.settings.Works, func(w *Work) float64 { return w.Weight })
	}
	if workspace == nil {
		workspace = weightedChoice(p.random, p.settings.Workspaces, func(w *Workspace) float64 { return w.Weight })
	}
	p.sequence++
	request := Request{
		At: p.now, Work: work, Workspace: workspace, Routers: p.random.Perm(len(p.settings.Routers)),
		Reference: fmt.Sprintf("ref-%d-%d", p.settings.Seed, p.sequence),
	}
	if work.Kind == KindStream {
		length := randomLength(p.random, work.PromptTokens, work.Spread)
		request.OutputTokens = randomLength(p.random, work.OutputTokens, work.Spread)
		request.Prefix = p.prompts.prefix(workspace, p.random, length)
		request.Prompt = p.prompts.randomText(p.random, max(length-tokenCount(request.Prefix), 1))
	}
	return request
}

// weightedChoice returns a random element with a probability proportional to its weight.
func weightedChoice[T any](random *rand.Rand, elements []T, weight func(*T) float64) *T {
	total := 0.0
	for i := range elements {
		total += weight(&elements[i])
	}
	point := random.Float64() * total
	last := 0
	for i := range elements {
		if weight(&elements[i]) == 0 {
			continue
		}
		last = i
		if point -= weight(&elements[i]); point < 0 {
			break
		}
	}
	return &elements[last]
}

// randomLength returns a log-normal length with the given mean, bounded to at least 1 and at most 20 times the mean. The
// upper bound keeps a single outlier from deciding the result of a short run.
func randomLength(random *rand.Rand, mean int, spread float64) int {
	const maxMultiple = 20
	location := math.Log(float64(mean)) - spread*spread/2
	length := math.Exp(location + spread*random.NormFloat64())
	return int(math.Round(min(max(length, 1), maxMultiple*float64(mean))))
}
