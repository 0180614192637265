package kernel

import (
	"context"
	"net/http"
	"time"
)

// RequestMetadata holds what the headers of a caller's request state. The request body is forwarded unchanged.
type RequestMetadata struct {
	// RequestID identifies one submission; a retry by the caller has another ID. It is empty if the caller sent none.
	RequestID string
	// Remaining is how long the caller waits for the answer; 0 if it sent no deadline.
	Remaining time.Duration
	// Credential is the caller's API key; empty if it sent none.
	Credential string
	// ResumeAfter is the ID of the last event that the caller received; empty to get a stream from its start.
	ResumeAfter string
	// PromptTokens and OutputTokens are the sizes that the caller declared; OutputTokens is the maximum that the
	// engine may generate. SizeDeclared is false if the caller declared no sizes.
	PromptTokens int
	OutputTokens int
	SizeDeclared bool
	// OutputEstimate is the caller's estimate of the output length in tokens; 0 if it sent none.
	OutputEstimate int
	// PromptParts are hashes of the parts of the prompt that other requests may share, in order. It is empty if the caller
	// declared none.
	PromptParts []uint64
}

// ForwardMetadata holds what the headers of a forwarded request tell the upstream.
type ForwardMetadata struct {
	// Upstream is the upstream that must answer. It checks the name, since its address may have been reassigned.
	Upstream string
	// Workspace is the workspace of the caller; empty on public routes.
	Workspace string
	// Remaining is the time left for the answer.
	Remaining time.Duration
	// ResumeAfter is the ID of the last event that was relayed to the caller.
	ResumeAfter string
}

// AnswerMetadata holds what the head of an upstream's answer states besides its status.
type AnswerMetadata struct {
	// RequestID is the ID of the request that is answered; empty if the answer has none.
	RequestID string
	// NotRun reports whether the upstream stated that it did not run the request.
	NotRun bool
	// Signed reports whether the answer carries the upstream's signature.
	Signed bool
	// ContentEncoded reports whether the body has a content encoding.
	ContentEncoded bool
	// Notice is what the upstream asks of the router that gets the answer.
	Notice Notice
	// MalformedPause is the value of a header that should state Notice.Pause and can't be read; empty if there is none.
	MalformedPause string
	// Load is what the upstream states about its load. MalformedLoad is the value of the header that should state it and
	// can't be read; empty if there is none.
	Load          StatedLoad
	MalformedLoad string
}

// StatedLoad is what an upstream states about its load in an answer.
type StatedLoad struct {
	// Running and Waiting are the requests that the upstream has. Slots is 0 if it states nothing.
	Running int
	Waiting int
	Slots   int
	// WorkPercent is how long work takes on the upstream's machine now, in percent of the usual time; 0 if it isn't stated.
	WorkPercent int
}

// Notice is what an upstream asks of one router in an answer.
type Notice struct {
	// Leaving reports whether the upstream is leaving and wants no new requests at all.
	Leaving bool
	// Pause is how long the upstream wants no requests; 0 if it doesn't ask for a pause.
	Pause time.Duration
}

// Dialect translates between the headers of callers and upstreams and the router's own types.
type Dialect interface {
	// ParseRequest reads the headers of a caller's request. Errors: *MalformedHeaderError.
	ParseRequest(header http.Header) (RequestMetadata, error)
	// RewriteRequest turns the headers of a caller's request into those that are sent to the upstream.
	RewriteRequest(header http.Header, metadata ForwardMetadata)
	// ParseAnswer reads the status and the headers of an upstream's answer.
	ParseAnswer(status int, header http.Header) AnswerMetadata
}

// RouteKind determines whether a request of a route may run more than once.
type RouteKind int

// Kinds of routes.
const (
	// RouteAtMostOnce is for requests that may run at most once for each submission.
	RouteAtMostOnce RouteKind = iota
	// RouteIdempotent is for requests that may run more than once.
	RouteIdempotent
	// RouteStream is for requests that are answered by a stream of events. They run at most once, unless the route is
	// resumable.
	RouteStream
)

// Target is one service that a route forwards to. Weight is its relative share of the route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. Of several prefixes that match a path, the longest applies.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a caller may wait for the end of the answer.
	Timeout time.Duration
	// Objective is the longest time to the answer, or to the first event of a stream, that counts as on time.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream that counts as on time.
	MaxPause time.Duration
	Tier     int
	Targets  []Target
	// Attempts is the number of upstreams that one request may be sent to.
	Attempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may be continued on another upstream.
	Resumable bool
}

// PublishedService is a service as the operator published it. KVTokens is 0 for plain services.
type PublishedService struct {
	Name string
	// ModelEngines reports whether the upstreams are model engines.
	ModelEngines bool
	// HealthPath is the path at which upstreams tell whether they take requests; empty if it isn't known.
	HealthPath string
	// KVTokens is the capacity of one engine's KV cache in tokens.
	KVTokens int
	// TokensPerEvent is the number of tokens in an event of a stream; 0 if it isn't known.
	TokensPerEvent int
}

// PublishedWorkspace is a workspace as the operator published it.
type PublishedWorkspace struct {
	Name string
	Keys []string
	// Tier takes precedence over the route's tier: requests of a workspace with a lower tier are more urgent, whatever
	// their routes.
	Tier int
	// Rate (per second) and Burst limit all requests of the workspace together; a Rate of 0 means no limit. They count
	// tokens, or requests if RequestUnit is set.
	Rate        float64
	Burst       float64
	RequestUnit bool
	// DefaultTokens is charged for a request that declares no sizes.
	DefaultTokens int
}

// Publication is one version of the operator's configuration. It is immutable once published.
type Publication struct {
	Version    int64
	Routes     []Route
	Services   []PublishedService
	Workspaces []PublishedWorkspace
	// MaxBodyBytes is the maximum size of a request's body, MaxHeadBytes that of its request line and header; 0 if not stated.
	MaxBodyBytes int64
	MaxHeadBytes int
	// HeadTimeout is how long a head may take to arrive, IdleTimeout how long a connection stays open between two requests; 0
	// if not stated.
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// Registration is one upstream as it registered itself in the directory.
type Registration struct {
	Name       string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving upstreams take no new requests.
	Leaving bool
	// Incarnation distinguishes the starts of an upstream that keeps its name; 0 if it isn't known.
	Incarnation int64
	// Sequence grows with what the upstream's process writes, so that a lower one was written earlier; 0 if it isn't known.
	Sequence int64
	// ColdRemaining is for how long the upstream stays slow, as of the record.
	ColdRemaining time.Duration
	// Version is the version of the upstream's software; empty if the registration doesn't state it.
	Version string
	// Registered is one more than the position of the record that last changed the registration; 0 in one that was just decoded.
	Registered int64
}

// Topic is one kind of record in the directory.
type Topic int

// Topics of the directory.
const (
	TopicPublication Topic = iota
	TopicUpstreams
	TopicRouters
)

var topicNames = [...]string{"publication", "upstreams", "routers"}

func (t Topic) String() string { return topicNames[t] }

// DirectoryRecord is the newest record of a key. Value is nil if the key was deleted.
type DirectoryRecord struct {
	// Position has its JSON name from a time when routers told each other offsets alone.
	Position Position `json:"Offset"`
	Key      string
	Value    []byte
}

// DirectoryPage holds records in the order of their positions. Next is the position at which to continue reading.
type DirectoryPage struct {
	Next    Position
	Records []DirectoryRecord
}

// DirectoryProtocol is a client of the directory, in which operators publish the configuration and upstreams register.
// Errors of its calls: *TrimmedError, *RestoredError, *LogUnavailableError, *RateLimitedError.
type DirectoryProtocol interface {
	RolloutProtocol
	// Changes returns the records at or after from. If there are none yet, it waits up to wait for the first.
	Changes(ctx context.Context, topic Topic, from Position, wait time.Duration) (DirectoryPage, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, topic Topic) (DirectoryPage, error)
	// Write writes records of TopicRouters, all or none, and returns the era in which it did. A nil value deletes the key;
	// positions are ignored.
	Write(ctx context.Context, records []DirectoryRecord) (era int64, err error)
	// Era returns how often the directory had been restored from a copy by its latest answer, 0 if it doesn't state it.
	// What routers wrote after the copy was made is lost.
	Era() int64
	// Announce writes the record of a router under its name; nil deletes it.
	Announce(ctx context.Context, router string, record []byte) error
	// Publication decodes a record of TopicPublication, or returns nil if the record is of another kind. Errors:
	// *MalformedRecordError.
	Publication(record DirectoryRecord) (*Publication, error)
	// Registration decodes a record of TopicUpstreams. Errors: *MalformedRecordError.
	Registration(record DirectoryRecord) (Registration, error)
}

// UpstreamProber is implemented by directories whose upstreams tell themselves whether they take requests.
type UpstreamProber interface {
	// Probe reports whether the upstream of a registration answers at its address under its name and is neither leaving nor failing.
	// path is the health path of its service.
	Probe(ctx context.Context, registration Registration, path string) (bool, error)
}

// Reporter reads the load reports of one upstream whose requests are forwarded without being parsed.
type Reporter interface {
	Load(ctx context.Context) (LoadReport, error)
}

type (
	// DirectoryFactory makes a client of the directory.
	DirectoryFactory func(address string) (DirectoryProtocol, func(), error)
	// ReporterFactory makes a reader of one upstream's load reports.
	ReporterFactory func(address string) (Reporter, func(), error)
)

// The registries of the protocols between callers, routers, upstreams and the directory.
var (
	Dialects    = NewRegistry[Dialect]("dialect")
	Directories = NewRegistry[DirectoryFactory]("directory protocol")
	Reporters   = NewRegistry[ReporterFactory]("load report protocol")
)
