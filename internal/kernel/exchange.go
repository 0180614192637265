package kernel

import (
	"context"
	"net/http"
	"time"
)

// RequestMetadata is what a caller's request says about itself. The request is passed on with its bytes unchanged.
type RequestMetadata struct {
	// RequestID names one submission; a caller's retry has another one. Empty if the caller sent none.
	RequestID string
	// Remaining is how long the caller waits for the answer; 0 if it doesn't say.
	Remaining time.Duration
	// Credential is the caller's API key, empty if it sent none.
	Credential string
	// ResumeAfter is the id of the last event that the caller has; empty for a stream from its start.
	ResumeAfter string
	// PromptTokens and OutputTokens are the declared sizes; OutputTokens is the most that the engine may generate.
	// Sized is false if the caller declared none.
	PromptTokens int
	OutputTokens int
	SizeDeclared bool
	// OutputEstimate is the caller's guess of the output length in tokens; 0 if it made none.
	OutputEstimate int
}

// ForwardMetadata is what a router tells an upstream with a request that it passes on.
type ForwardMetadata struct {
	// Upstream is the instance that must answer: its address may belong to another one by now.
	Upstream string
	// Workspace is whose request it is; empty on public routes.
	Workspace string
	// Remaining is the time left for the answer.
	Remaining time.Duration
	// ResumeAfter is the id of the last event passed on to the caller.
	ResumeAfter string
}

// AnswerMetadata is what the head of an upstream's answer says besides its status.
type AnswerMetadata struct {
	// RequestID is the request that the answer belongs to; empty if it doesn't say.
	RequestID string
	// NotRun is the upstream's statement that it did not run the request.
	NotRun bool
	// Signed says that the answer carries the upstream's signature.
	Signed bool
	// Encoded says that the body isn't in its plain form.
	Encoded bool
}

// Dialect translates between the headers of callers and upstreams and the router's own types.
type Dialect interface {
	// ParseRequest reads a caller's request. Errors: *MalformedHeaderError.
	ParseRequest(header http.Header) (RequestMetadata, error)
	// RewriteRequest changes a caller's header to the one that the upstream gets.
	RewriteRequest(header http.Header, passage ForwardMetadata)
	// ParseAnswer reads the head of an upstream's answer.
	ParseAnswer(status int, header http.Header) AnswerMetadata
}

// RouteKind says what may be repeated.
type RouteKind int

// Kinds of routes.
const (
	// RouteAtMostOnce may run at most once for each submission.
	RouteAtMostOnce RouteKind = iota
	// RouteIdempotent may run more than once.
	RouteIdempotent
	// RouteStream is answered by a stream of events and runs at most once, unless it may be resumed.
	RouteStream
)

// Target is one service that a route leads to. Weight is its share among the targets of the route.
type Target struct {
	Service string
	Weight  int
}

// Route leads requests for a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash; the longest one that begins the path wins.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a caller may be kept waiting for the end of the answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event, that counts as on time.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream that counts as on time.
	MaxPause time.Duration
	Tier     int
	Targets  []Target
	// Attempts is the number of upstreams that one submission may be sent to.
	Attempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// PublishedService is a service as the operator published it. KVTokens is 0 for plain services.
type PublishedService struct {
	Name string
	// ModelEngines says that its upstreams are model engines.
	ModelEngines bool
	// KVTokens is the memory of one engine, in tokens.
	KVTokens int
	// TokensPerEvent is how many tokens an event of a stream holds; 0 if it isn't known.
	TokensPerEvent int
}

// PublishedWorkspace is a workspace as the operator published it.
type PublishedWorkspace struct {
	Name string
	Keys []string
	// Tier goes before the route's tier: requests of a workspace with a lower one are more urgent, whatever their routes.
	Tier int
	// Rate, a second, and Burst bound all its requests together; a Rate of 0 means no limit. They count tokens, or
	// requests where RequestUnit is set.
	Rate        float64
	Burst       float64
	RequestUnit bool
	// DefaultTokens is the charge for a request that declares no size.
	DefaultTokens int
}

// Publication is one version of the operator's configuration. It is immutable once published.
type Publication struct {
	Version    int64
	Routes     []Route
	Services   []PublishedService
	Workspaces []PublishedWorkspace
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
}

// Registration is one upstream as it registered itself.
type Registration struct {
	Name       string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving upstreams take no new work.
	Leaving bool
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

// DirectoryRecord is the newest record of a key. Value is nil if the key was dropped.
type DirectoryRecord struct {
	Offset int64
	Key    string
	Value  []byte
}

// DirectoryPage holds records in offset order. Next is the offset to read on from.
type DirectoryPage struct {
	Next    int64
	Records []DirectoryRecord
}

// DirectoryProtocol reads what operators publish and where upstreams register. Errors of its calls: *TrimmedError,
// *LogUnavailableError, *RateLimitedError.
type DirectoryProtocol interface {
	// Changes returns the records from an offset on, waiting up to wait for the first.
	Changes(ctx context.Context, topic Topic, from int64, wait time.Duration) (DirectoryPage, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, topic Topic) (DirectoryPage, error)
	// Announce writes the record of a router under its name; nil drops it.
	Announce(ctx context.Context, router string, record []byte) error
	// Publication decodes a record of TopicPublication; nil if the record is of another kind. Errors:
	// *MalformedRecordError.
	Publication(record DirectoryRecord) (*Publication, error)
	// Registration decodes a record of TopicUpstreams. Errors: *MalformedRecordError.
	Registration(record DirectoryRecord) (Registration, error)
}

// Reporter reads the load report of an upstream that is sent opaque requests.
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
