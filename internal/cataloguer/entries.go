package cataloguer

import "time"

// Tiers of requests in catalogue entries: 0 is the most urgent.
const (
	HighestTier = 0
	LowestTier  = 3
)

// TierCount is the number of tiers that schedulers distinguish. Entries of the catalogue use the tiers from HighestTier
// to LowestTier; published routes use one tier for each priority that occurs, a priority being the pair of a
// workspace's and a route's tier.
const TierCount = 8

// Class is the kind of answer that a work gives.
type Class string

// Classes of work.
const (
	// ClassStream is model work that is answered with a stream of tokens.
	ClassStream Class = "stream"
	// ClassUnary is a service call with a single answer.
	ClassUnary Class = "unary"
)

// Workspace is one customer. KeyHashes are the SHA-256 digests of its bearer keys in hex. Weight is its weight in fair
// sharing.
type Workspace struct {
	Name      string    `yaml:"name"`
	Weight    float64   `yaml:"weight"`
	KeyHashes []string  `yaml:"key_hashes"`
	Allowance Allowance `yaml:"-"`
}

// Allowance limits the total use of all requests of a workspace: Rate is in units per second, Burst in units at once. A
// Rate of 0 means no limit. Allowances come only from publications.
type Allowance struct {
	Rate  float64
	Burst float64
}

// Scale returns the given share of the allowance.
func (a Allowance) Scale(share float64) Allowance {
	return Allowance{Rate: a.Rate * share, Burst: a.Burst * share}
}

// Upstream is one engine or service. Address is "ip:port". Slots is the maximum number of requests in flight on it.
type Upstream struct {
	Name           string `yaml:"name"`
	Address        string `yaml:"address"`
	DataCentre     string `yaml:"data_centre"`
	Generation     string `yaml:"generation,omitempty"`
	Slots          int    `yaml:"slots"`
	ChecksFencing  bool   `yaml:"checks_fencing,omitempty"`
	ChecksOrderer  bool   `yaml:"checks_orderer,omitempty"`
	PrefillPerSec  int    `yaml:"prefill_tokens_per_second,omitempty"`
	TokensPerSec   int    `yaml:"output_tokens_per_second,omitempty"`
	KVTokens       int    `yaml:"kv_tokens,omitempty"`
	DesiredModel   string `yaml:"desired_model,omitempty"`
	DesiredAdapter string `yaml:"desired_adapter,omitempty"`
	DesiredRole    string `yaml:"desired_role,omitempty"`
	// Incarnation distinguishes the starts of an upstream that keeps its name; 0 if it isn't known. Catalogues that
	// operators edit don't have it.
	Incarnation int64 `yaml:"-"`
	// ColdRemaining is for how long after its start the upstream stays slow. Catalogues that operators edit don't have it.
	ColdRemaining time.Duration `yaml:"-"`
	// Version is the version of the upstream's software, empty if it isn't known.
	Version string `yaml:"-"`
	// Registered is one more than the position of the record that last changed the registration; 0 in catalogues that operators
	// edit.
	Registered int64 `yaml:"-"`
}

// Pool is a set of upstreams that serve the same work. Protocol is the name of the adapter plug-in.
type Pool struct {
	Name      string     `yaml:"name"`
	Protocol  string     `yaml:"protocol"`
	MaxQueue  int        `yaml:"max_queue,omitempty"`
	Upstreams []Upstream `yaml:"upstreams"`
	// Opaque is true if requests are forwarded to the upstreams exactly as callers sent them. ModelEngines is true if
	// the upstreams of an opaque pool are model engines.
	Opaque       bool `yaml:"-"`
	ModelEngines bool `yaml:"-"`
}

// Limits limits the use of one kind of work by one workspace; 0 means no limit.
type Limits struct {
	Concurrency     int `yaml:"concurrency,omitempty"`
	TokensPerMinute int `yaml:"tokens_per_minute,omitempty"`
	MaxOutputTokens int `yaml:"max_output_tokens,omitempty"`
}

// Work describes one kind of work. Requests refer to stream work by Model and to unary work by Method and Path.
type Work struct {
	Name           string        `yaml:"name"`
	Owner          string        `yaml:"owner"`
	Class          Class         `yaml:"class"`
	Tier           int           `yaml:"tier"`
	Pool           string        `yaml:"pool"`
	Model          string        `yaml:"model,omitempty"`
	Method         string        `yaml:"method,omitempty"`
	Path           string        `yaml:"path,omitempty"`
	Idempotent     bool          `yaml:"idempotent"`
	RequireKey     *bool         `yaml:"require_key,omitempty"`
	KeyFormat      KeyFormat     `yaml:"key_format,omitempty"`
	ExpectedPrompt int           `yaml:"expected_prompt_tokens,omitempty"`
	ExpectedOutput int           `yaml:"expected_output_tokens,omitempty"`
	Deadline       time.Duration `yaml:"deadline,omitempty"`
	Workspaces     []string      `yaml:"workspaces,omitempty"`
	Limits         Limits        `yaml:"limits,omitempty"`
}

// Catalogue is one revision of all entries. It is immutable once published. Offset is the log offset of the record that
// created this revision, -1 for revision 0.
type Catalogue struct {
	Revision   uint64      `yaml:"revision"`
	Offset     int64       `yaml:"-"`
	Workspaces []Workspace `yaml:"workspaces"`
	Pools      []Pool      `yaml:"pools"`
	Works      []Work      `yaml:"works"`

	index *index
}
