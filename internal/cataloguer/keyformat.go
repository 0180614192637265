package cataloguer

// KeyFormat is the format of Idempotency-Key values that a kind of work accepts.
type KeyFormat string

// Key formats. Only UUIDv7 keys contain the time from which their age is determined.
const (
	KeyFormatAny    KeyFormat = "any"
	KeyFormatUUIDv7 KeyFormat = "uuid_v7"
)
