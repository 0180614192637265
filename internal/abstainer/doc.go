// Package abstainer keeps what upstreams have asked of this router in their answers: no new requests because they are
// leaving, or none for some time. What it keeps binds this router alone; the schedulers learn of it through releases.
package abstainer
