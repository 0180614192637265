// Package planner decides which request is sent when: the load settings, Poisson arrivals and prompts. The same
// settings with the same seed give the same plan.
package planner

import (
	"os"
	"time"

	"coltsfootplank/internal/loader"
)

// Settings describe one load.
type Settings struct {
	// Routers are the routers' addresses for callers. Each request goes to a random one, as behind a load balancer.
	Routers []string `yaml:"routers" unit:"IP:port" format:"address" required:"true" help:"callers' addresses of the routers"`
	// Stats are the control addresses of the platform stand-ins, which report wasted prefill and duplicate runs.
	Stats []string `yaml:"stats" unit:"IP:port" format:"address" help:"control addresses of the platform stand-ins"`
	// Seed makes the plan repeatable.
	Seed uint64 `yaml:"seed" unit:"number" help:"seed of arrivals, choices and prompts"`
	// Phases are consecutive arrival rates, which can describe a burst.
	Phases []Phase `yaml:"phases" required:"true" help:"consecutive rates"`
	// MaxInFlight bounds the memory of the load generator. Requests above the limit are skipped and counted, not delayed.
	MaxInFlight int `yaml:"max_in_flight" unit:"requests" min:"1" max:"100000" help:"requests in flight; more are skipped and counted"`
	// AnswerTimeout is the longest time to send a request and read its answer.
	AnswerTimeout time.Duration `yaml:"answer_timeout" unit:"duration" min:"100ms" max:"1h" help:"longest wait for one whole answer"`
	// SettleTimeout bounds the wait for outstanding answers after the last arrival.
	SettleTimeout time.Duration `yaml:"settle_timeout" unit:"duration" min:"100ms" max:"1h" help:"longest wait for outstanding answers at the end"`
	// Workspaces are the customers that send.
	Workspaces []Workspace `yaml:"workspaces" required:"true" help:"customers"`
	// Works are the kinds of work that they send.
	Works []Work `yaml:"works" required:"true" help:"kinds of work"`
}

// Phase is a period with one mean arrival rate.
type Phase struct {
	// Duration is the length of the phase.
	Duration time.Duration `yaml:"duration" unit:"duration" min:"10ms" max:"24h" help:"length of the phase"`
	// Rate is the mean rate of the Poisson arrivals.
	Rate float64 `yaml:"rate" unit:"requests per second" min:"0.01" max:"100000" help:"mean arrivals"`
}

// Workspace is one customer.
type Workspace struct {
	// Name enters the seed of the prompt prefixes, so that each workspace has its own.
	Name string `yaml:"name" format:"name" required:"true" help:"name of the workspace"`
	// Key is the API key, sent as a bearer token; the catalogue holds its hash.
	Key string `yaml:"key" required:"true" help:"bearer key"`
	// Weight is the share of requests that this workspace sends, relative to the others.
	Weight float64 `yaml:"weight" unit:"relative" min:"0.001" max:"1000000" help:"relative share of requests"`
	// Prefixes is the number of different prompt prefixes; each prompt starts with one of them.
	Prefixes int `yaml:"prefixes" unit:"prompts" min:"0" max:"100000" help:"number of shared prompt beginnings"`
	// PrefixTokens is the length of a prompt prefix.
	PrefixTokens int `yaml:"prefix_tokens" unit:"tokens" min:"0" max:"1000000" help:"length of a shared prompt beginning"`
}

// Kinds of work.
const (
	KindStream = "stream"
	KindUnary  = "unary"
)

// KeyUUIDv7 is the value of Work.Key that sends a UUIDv7 as the idempotency key.
const KeyUUIDv7 = "uuid_v7"

// Work is one kind of work. A limit of 0 is not checked.
type Work struct {
	// Name appears in the output of the sample command.
	Name string `yaml:"name" format:"name" required:"true" help:"name of the kind of work"`
	// Kind is stream for model work and unary for a service call.
	Kind string `yaml:"kind" oneof:"stream,unary" required:"true" help:"stream or unary"`
	// Tier is the tier in the catalogue; the report groups by it.
	Tier int `yaml:"tier" unit:"tier" min:"0" max:"3" help:"tier in the catalogue"`
	// Weight is the share of requests of this kind, relative to the others.
	Weight float64 `yaml:"weight" unit:"relative" min:"0" max:"1000000" help:"relative share of requests"`
	// Model is the model of stream work.
	Model string `yaml:"model" help:"model of stream work"`
	// Method is the HTTP method of unary work.
	Method string `yaml:"method" oneof:"GET,POST" help:"method of unary work"`
	// Path is the path of unary work, with its query.
	Path string `yaml:"path" help:"path of unary work"`
	// Body is the JSON body of unary work; {reference} is replaced by a unique text.
	Body string `yaml:"body" help:"body of unary work; {reference} becomes a unique text"`
	// PromptTokens is the mean length of a prompt.
	PromptTokens int `yaml:"prompt_tokens" unit:"tokens" min:"0" max:"1000000" help:"mean length of a prompt"`
	// OutputTokens is the mean of max_tokens.
	OutputTokens int `yaml:"output_tokens" unit:"tokens" min:"0" max:"1000000" help:"mean of max_tokens"`
	// Spread is the standard deviation of the logarithm of both lengths; 0 makes them constant.
	Spread float64 `yaml:"spread" unit:"log-normal sigma" min:"0" max:"3" help:"spread of the log-normal lengths"`
	// ExactOutput requires answers to have exactly max_tokens tokens.
	ExactOutput bool `yaml:"exact_output" help:"whether an answer must have exactly max_tokens tokens"`
	// Key is the kind of Idempotency-Key that is sent, or empty for none.
	Key string `yaml:"key" oneof:"uuid_v7" help:"uuid_v7 sends an Idempotency-Key; empty sends none"`
	// Deadline is sent as X-Deadline-Ms; 0 sends none.
	Deadline time.Duration `yaml:"deadline" unit:"duration" min:"0s" max:"24h" help:"sent as X-Deadline-Ms; 0s sends none"`
	// FirstTokenLimit bounds the time to the first token. A complete answer that exceeds this, GapLimit or TotalLimit is
	// late instead of good.
	FirstTokenLimit time.Duration `yaml:"first_token_limit" unit:"duration" min:"0s" max:"24h" help:"limit of the time to the first token"`
	// GapLimit bounds the mean time between the tokens of one answer.
	GapLimit time.Duration `yaml:"gap_limit" unit:"duration" min:"0s" max:"1h" help:"limit of the mean time between tokens"`
	// TotalLimit bounds the time to the complete answer.
	TotalLimit time.Duration `yaml:"total_limit" unit:"duration" min:"0s" max:"24h" help:"limit of the time to the whole answer"`
}

// Defaults returns the default values of settings that a file may omit.
func Defaults() Settings {
	return Settings{Seed: 1, MaxInFlight: 5000, AnswerTimeout: 5 * time.Minute, SettleTimeout: 2 * time.Minute}
}

// Load reads and checks a settings file. The error is a *loader.ReadError or a loader.SettingsErrors list.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &loader.ReadError{Position: loader.Position{File: file}, Cause: err}
	}
	settings := Defaults()
	if err := loader.Decode(file, data, &settings).Err(); err != nil {
		return nil, err
	}
	if err := settings.check(file).Err(); err != nil {
		return nil, err
	}
	return &settings, nil
}

// check finds errors that the rules for single fields can't express.
func (s *Settings) check(file string) loader.SettingsErrors {
	var problems loader.SettingsErrors
	total := 0.0
	for _, work := range s.Works {
		total += work.Weight
		missing := ""
		switch {
		case work.Kind == KindStream && work.Model == "":
			missing = "model"
		case work.Kind == KindStream && (work.PromptTokens == 0 || work.OutputTokens == 0):
			missing = "prompt_tokens or output_tokens"
		case work.Kind == KindUnary && (work.Method == "" || work.Path == ""):
			missing = "method or path"
		}
		if missing != "" {
			problems = append(problems, &loader.MissingError{
				Position: loader.Position{File: file, Field: "works[" + work.Name + "]." + missing}})
		}
	}
	if total == 0 {
		problems = append(problems, &loader.ConflictError{
			Position: loader.Position{File: file, Field: "works"}, Reason: "all weights are 0"})
	}
	return problems
}
