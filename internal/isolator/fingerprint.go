package isolator

import "github.com/cespare/xxhash/v2"

// Fingerprint identifies a request by its body and what else makes it the same request, so that one that crashes upstreams
// is recognised when it comes again.
func Fingerprint(body []byte, parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		// A hash never returns a write error.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}
