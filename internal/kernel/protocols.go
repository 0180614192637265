package kernel

import (
	"context"
	"time"
)

// EngineProtocol is a client of one model engine. Its methods may be called concurrently.
type EngineProtocol interface {
	// Generate sends a prompt. Errors: *NotSentError if no byte was written, *RejectedError for an
	// error answer, *ConnectionLostError for any other failure.
	Generate(ctx context.Context, request GenerateRequest) (TokenStream, error)
	// Resume continues a stream at token index from. Errors: *StreamUnknownError, *NotSentError, *ConnectionLostError.
	Resume(ctx context.Context, streamID string, from int) (TokenStream, error)
	// Cancel ends a stream on the engine.
	Cancel(ctx context.Context, streamID string) error
	// Load returns the engine's own load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns prefix cache events with a sequence number above after.
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
	// Order sends an order. Errors: *StaleFencingError if the engine checks fencing tokens.
	Order(ctx context.Context, order Order) error
	// ExportKV returns the cached state of a prefix; ImportKV stores it on another engine.
	ExportKV(ctx context.Context, hash uint64) ([]byte, error)
	ImportKV(ctx context.Context, hash uint64, data []byte) error
}

// TokenStream yields the frames of one stream. Next returns io.EOF after the final frame, and a *ConnectionLostError
// when the connection ended before it.
type TokenStream interface {
	Next() (Frame, error)
	Close() error
}

// GenerateRequest is one prompt. PrefixHashes are salted by workspace, longest prefix last.
type GenerateRequest struct {
	StreamID     string   `json:"stream_id"`
	Model        string   `json:"model"`
	Prompt       string   `json:"prompt"`
	PromptTokens int      `json:"prompt_tokens"`
	PrefixHashes []uint64 `json:"prefix_hashes,omitempty"`
	MaxTokens    int      `json:"max_tokens"`
}

// Frame is one token of a stream, or its end. Index counts from 0. Total is set on the final frame.
type Frame struct {
	StreamID     string `json:"stream_id"`
	Index        int    `json:"index"`
	Token        string `json:"token,omitempty"`
	Done         bool   `json:"done,omitempty"`
	Total        int    `json:"total,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
}

// LoadReport is the load that an engine or a service reports. AgeMS is the age of the figures. Instance changes when
// the process at the address restarts.
type LoadReport struct {
	Instance   string `json:"instance"`
	Running    int    `json:"running"`
	Waiting    int    `json:"waiting"`
	BatchSlots int    `json:"batch_slots"`
	KVUsed     int    `json:"kv_used"`
	KVTotal    int    `json:"kv_total"`
	Draining   bool   `json:"draining"`
	AgeMS      int64  `json:"age_ms"`
}

// CacheEventKind is the kind of change of a cached prefix.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq  uint64         `json:"seq"`
	Kind CacheEventKind `json:"kind"`
	Hash uint64         `json:"hash"`
}

// CacheEvents is a page of cache events. A gap in Seq means that events were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order states the desired state of an engine. Fencing is the fencing token: the log offset of the sender's lease.
type Order struct {
	Fencing int64     `json:"fencing"`
	Orderer string    `json:"orderer"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// ServiceProtocol is a client of one plain service.
type ServiceProtocol interface {
	// Call sends one request. Errors: *NotSentError if no byte was written, *ConnectionLostError after that. An HTTP
	// error status is an answer, not an error.
	Call(ctx context.Context, request ServiceRequest) (ServiceResponse, error)
	// Load returns the service's own load report.
	Load(ctx context.Context) (LoadReport, error)
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	RequestID   string
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// ServiceResponse is the answer of a plain service.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// LogProtocol is a client of the log service.
type LogProtocol interface {
	// Append adds one record and returns its offset. Errors: *LogUnavailableError or *RateLimitedError if the record
	// was certainly not stored, *AppendOutcomeUnknownError if it may have been.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit records at or after offset from. If there are none yet, it waits up to wait for the
	// first. Errors: *TrimmedError, *LogUnavailableError.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (LogPage, error)
}

// LogRecord is one record of a log stream.
type LogRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// LogPage is the result of a read. First is the oldest offset that is still stored, Next the offset at which to
// continue reading.
type LogPage struct {
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []LogRecord `json:"records"`
}

// VMState is the state of a VM in the VM list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the VM list. Role is "router", "engine" or "service".
type VM struct {
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	Role       string  `json:"role"`
	State      VMState `json:"state"`
}

// VMListProtocol is a client of the VM list.
type VMListProtocol interface {
	VMs(ctx context.Context) ([]VM, error)
}

// WeightStoreProtocol is a client of the weight store. Errors: *RateLimitedError.
type WeightStoreProtocol interface {
	Fetch(ctx context.Context, model string) error
}
