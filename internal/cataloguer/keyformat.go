package cataloguer

// KeyFormat says which Idempotency-Key values a kind of work accepts.
type KeyFormat string

// Key formats. The age of a key can be judged only for UUIDv7 keys.
const (
	KeyFormatAny    KeyFormat = "any"
	KeyFormatUUIDv7 KeyFormat = "uuid_v7"
)
