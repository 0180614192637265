package claimer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/google/uuid"

	"coltsfootplank/internal/cataloguer"
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 256

// Scope identifies a request that may run at most once, by workspace, work and idempotency key. The other fields are
// not part of the identity: Fingerprint is a hash of the request's content, which detects a key that is used again with
// different content (0 disables the check). Format is the key format that the work requires; empty means any.
// AllowInMemory allows a claim in memory while the log is unavailable (model work).
type Scope struct {
	Workspace     string
	Work          string
	Key           string
	Fingerprint   uint64
	Format        cataloguer.KeyFormat
	AllowInMemory bool
}

// ScopeHash identifies a scope in the log: the first 16 bytes of a SHA-256 digest. With a shorter or weaker hash, a key
// of one workspace could collide with a claim of another.
type ScopeHash [16]byte

// Hash returns the hash of the fields that identify the scope.
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

// Short returns the first 8 bytes of the hash, which ranking and claims in memory use.
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

// checkKey validates the key of a scope. It returns the time in a UUIDv7 key, or the zero time for other keys. Errors:
// *KeyFormatError, *KeyTooOldError.
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
	keyTime := time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
	if keyTime.Sub(now) > options.ClockSkew {
		// A key with a future time would not yet count as too old when retention has removed its claim from the log.
		return time.Time{}, &KeyFormatError{Reason: "the time in the UUIDv7 lies in the future"}
	}
	// Allows for the skew twice: the age depends on the clocks of the caller and of this router.
	if age, limit := now.Sub(keyTime), options.Retention-2*options.ClockSkew; age > limit {
		return time.Time{}, &KeyTooOldError{Age: age, Limit: limit}
	}
	return keyTime, nil
}
