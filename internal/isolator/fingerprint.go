package isolator

import "github.com/cespare/xxhash/v2"

// Fingerprint returns a hash of the body of a request and of the other parts that identify its content, so that a
// request that crashes upstreams is recognised when it is submitted again.
func Fingerprint(body []byte, parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		// Writing to a hash never returns an error.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}
