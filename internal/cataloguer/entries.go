package cataloguer

import "time"

// Tiers of requests: 0 is the most urgent.
const (
	HighestTier = 0
	LowestTier  = 3
)

// PriorityLevels is the number of urgencies that schedulers tell apart. Entries of the catalogue use the tiers; published routes
// use as many levels as pairs of a workspace's and a route's urgency occur.
const PriorityLevels = 8

// Class says how a kind of work is answered.
type Class string

// Classes of work.
const (
	// ClassStream is model work answered as a token stream.
	ClassStream Class = "stream"
	// ClassUnary is a call of a plain service.
	ClassUnary Class = "unary"
)

// Workspace is one customer. KeyHashes are hex SHA-256 digests of its bearer keys. Weight scales its fair share.
type Workspace struct {
	Name      string    `yaml:"name"`
	Weight    float64   `yaml:"weight"`
	KeyHashes []string  `yaml:"key_hashes"`
	Allowance Allowance `yaml:"-"`
}

// Allowance bounds what all requests of a workspace may use, in units a second and units at once; a Rate of 0 means no
// limit. It comes from the platform's configuration only.
type Allowance struct {
	Rate  float64
	Burst float64
}

// Scale returns a share of the allowance.
func (a Allowance) Scale(share float64) Allowance {
	return Allowance{Rate: a.Rate * share, Burst: a.Burst * share}
}

// Upstream is one engine or service instance. Address is "ip:port". Slots bounds the requests in flight on it.
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
}

// Pool is a set of upstreams that can serve the same work. Protocol names the adapter plug-in.
type Pool struct {
	Name      string     `yaml:"name"`
	Protocol  string     `yaml:"protocol"`
	MaxQueue  int        `yaml:"max_queue,omitempty"`
	Upstreams []Upstream `yaml:"upstreams"`
	// Opaque pools get requests as callers sent them. Model says that their upstreams are model engines.
	Opaque       bool `yaml:"-"`
	ModelEngines bool `yaml:"-"`
}

// Limits bounds one workspace's use of one kind of work; 0 means no limit.
type Limits struct {
	Concurrency     int `yaml:"concurrency,omitempty"`
	TokensPerMinute int `yaml:"tokens_per_minute,omitempty"`
	MaxOutputTokens int `yaml:"max_output_tokens,omitempty"`
}

// Work describes one kind of work. Model names it for stream work; Path does for unary work.
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

// Catalogue is one revision of all entries. It is immutable once published. Offset is the log offset of the
// record that made this revision, -1 for revision 0.
type Catalogue struct {
	Revision   uint64      `yaml:"revision"`
	Offset     int64       `yaml:"-"`
	Workspaces []Workspace `yaml:"workspaces"`
	Pools      []Pool      `yaml:"pools"`
	Works      []Work      `yaml:"works"`

	index *index
}
