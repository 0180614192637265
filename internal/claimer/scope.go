package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/google/uuid"

	"coltsfootplank/internal/cataloguer"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 256

// Scope is what may run once. Fingerprint is a hash of the request's content, so that a key that is used again
// with another content is noticed; 0 is not compared. Format is the key format that the work demands; empty
// means any. Memory allows a claim in memory while the log is down (model work). These three do not belong to
// the identity of the scope.
type Scope struct {
	Workspace     string
	Work          string
	Key           string
	Fingerprint   uint64
	Format        cataloguer.KeyFormat
	AllowInMemory bool
}

// ScopeHash identifies a scope in the log: the first 16 bytes of a SHA-256 digest. A shorter or weaker hash
// would let one workspace's key hit another one's claim.
type ScopeHash [16]byte

// Hash returns the identity of the scope.
func (s Scope) Hash() ScopeHash {
	digest := sha256.New()
	for _, part := range []string{s.Workspace, s.Work, s.Key} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	var hash ScopeHash
	copy(hash[:], digest.Sum(nil))
	return hash
}

// Short returns 8 bytes of the hash, for ranking and for claims in memory.
func (h ScopeHash) Short() uint64 { return binary.BigEndian.Uint64(h[:8]) }

// MarshalText encodes the hash in hex.
func (h ScopeHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText decodes a hash in hex.
func (h *ScopeHash) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil {
		return Error.Wrap(err)
	}
	if len(decoded) != len(h) {
		return &RecordError{Reason: "scope hash has a wrong length"}
	}
	copy(h[:], decoded)
	return nil
}

// checkKey returns the time in a UUIDv7 key, or the zero time for other keys. Errors: *KeyFormatError,
// *KeyTooOldError.
func checkKey(scope Scope, now time.Time, options Options) (time.Time, error) {
	if scope.Key == "" || len(scope.Key) > maxKeyBytes {
		return time.Time{}, &KeyFormatError{Reason: "must have 1 to 256 bytes"}
	}
	id, err := uuid.Parse(scope.Key)
	if err != nil || id.Version() != 7 {
		if scope.Format == cataloguer.KeyFormatUUIDv7 {
			return time.Time{}, &KeyFormatError{Reason: "must be a UUIDv7"}
		}
		return time.Time{}, nil
	}
	made := time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
	if made.Sub(now) > options.ClockSkew {
		// A key from the future would still pass as young enough when its claim has left the log.
		return time.Time{}, &KeyFormatError{Reason: "the time in the UUIDv7 lies in the future"}
	}
	// Two clocks are involved, the caller's and this router's.
	if age, limit := now.Sub(made), options.Retention-2*options.ClockSkew; age > limit {
		return time.Time{}, &KeyTooOldError{Age: age, Limit: limit}
	}
	return made, nil
}
