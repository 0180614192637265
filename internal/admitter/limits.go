package admitter

import "time"

const (
	// connectionBytes is what an open connection without a request takes in the heap: its goroutine's stack and the buffers
	// of net/http.
	connectionBytes = 12 << 10
	// fieldBytes is what a parsed header field takes besides its bytes; 8,500 fields of 4 to 6 bytes took 0.9 MB.
	fieldBytes = 128
	// leastFieldBytes is the size of the shortest header field with its line end.
	leastFieldBytes = 4
	// encryptedFactor is how much larger than its bytes a head may become once it is parsed. It is applied to heads inside
	// TLS, whose fields can't be counted below it.
	encryptedFactor = 1 + fieldBytes/leastFieldBytes
	// connectionMemoryParts and headMemoryParts divide the memory: one part is for connections or for heads.
	connectionMemoryParts = 4
	headMemoryParts       = 8
	// leastHeads is the number of the longest heads for which there is always memory.
	leastHeads = 2
	// fileDescriptors aren't for connections; reservedParts divides the others: one part is kept for engines, peers and the
	// directory.
	fileDescriptors = 200
	reservedParts   = 4
	// leastConnections is the smallest number of clients' connections, whatever the descriptors and the memory.
	leastConnections = 64
	// peerParts divides the clients' connections: one part is for other routers, but at least leastPeers, since a scheduler
	// has a connection from each of about 150.
	peerParts  = 4
	leastPeers = 64
	// fewConnections is the number for operators and for readiness checks.
	fewConnections = 32
	// addressParts divides the unfinished heads: one address has no more than one part. Callers of a load balancer share
	// its address, so the part is large.
	addressParts = 2
	// largestBuffer bounds the socket buffers of a connection, leastBuffer keeps them usable. A socket's kernel memory is
	// bufferFactor times the size that is set.
	largestBuffer = 256 << 10
	leastBuffer   = 8 << 10
	bufferFactor  = 2
	// usualBodyParts divides a usual buffer: bodies and answers of up to one part need no larger one.
	usualBodyParts = 2
	// bodyBufferParts divides the memory: one part is for the larger buffers of connections that carry long bodies or answers.
	bodyBufferParts = 8
	// bufferParts divides the memory of a connection's socket: one part is the receive buffer and two the send buffer, each
	// of which the kernel doubles.
	bufferParts = 6
)

// Bounds are the limits of one listener's connections.
type Bounds struct {
	// Connections bounds the open connections, Unfinished those of them that haven't sent a whole head, and PerAddress the
	// unfinished ones of one address.
	Connections, Unfinished, PerAddress int
	// HeadBytes, LineBytes and Fields bound one head, one line of it (the request line or a field) and its fields.
	HeadBytes, LineBytes, Fields int
	// HeadMemory bounds what the listener's heads take once they are parsed; 0 means no bound.
	HeadMemory int64
	// ReceiveBuffer and SendBuffer are the sizes of the socket's buffers; 0 leaves them to the kernel.
	ReceiveBuffer, SendBuffer int
	// BodyBuffers is the memory for the larger buffers of connections that have carried long bodies or answers.
	BodyBuffers int64
}

// Published are the limits that operators have published for the callers' requests. A zero value is no limit.
type Published struct {
	HeadBytes   int
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// Resources are what the bounds are derived from.
type Resources struct {
	// Memory is the memory limit in bytes; 0 means that there is none.
	Memory int64
	// Descriptors is the limit of open descriptors.
	Descriptors int
	// HeadBytes, LineBytes and Fields are those of Bounds.
	HeadBytes, LineBytes, Fields int
	// Connections and PerAddress replace the derived numbers of connections and of unfinished heads of one address, unless
	// they are 0.
	Connections, PerAddress int
}

// BoundsByListener holds the bounds of all listeners.
type BoundsByListener struct {
	Callers, Peers, Operators, Readiness Bounds
}

// Derive divides the resources among the listeners. A flood on one of them leaves the others their connections.
func Derive(r Resources) BoundsByListener {
	available := max(leastConnections, r.Descriptors-fileDescriptors)
	total := max(leastConnections, available-available/reservedParts)
	if r.Memory > 0 {
		total = min(total, max(leastConnections, int(r.Memory/connectionMemoryParts/connectionBytes)))
	}
	if r.Connections > 0 {
		total = min(total, r.Connections)
	}
	peers := max(leastPeers, total/peerParts)
	base := Bounds{HeadBytes: r.HeadBytes, LineBytes: r.LineBytes, Fields: r.Fields}
	if r.Memory > 0 {
		socket := r.Memory / int64(total)
		base.ReceiveBuffer = int(min(largestBuffer, max(leastBuffer, socket/bufferParts)))
		base.SendBuffer = 2 * base.ReceiveBuffer
	}
	bounds := func(connections int, memory int64) Bounds {
		b := base
		b.Connections = connections
		b.Unfinished = connections
		b.PerAddress = max(1, connections/addressParts)
		if r.PerAddress > 0 {
			b.PerAddress = r.PerAddress
		}
		if memory > 0 {
			b.HeadMemory = max(memory, leastHeads*headCharge(r.HeadBytes, r.Fields))
		}
		return b
	}
	heads := r.Memory / headMemoryParts
	result := BoundsByListener{
		Callers: bounds(max(leastConnections, total-peers-2*fewConnections), heads), Peers: bounds(peers, heads/peerParts),
		Operators: bounds(fewConnections, heads/peerParts), Readiness: bounds(fewConnections, heads/peerParts),
	}
	result.Callers.BodyBuffers = r.Memory / bodyBufferParts
	// Routers send large batches to each other, over few connections.
	result.Peers.ReceiveBuffer, result.Peers.SendBuffer = 0, 0
	return result
}

// headCharge returns the memory of a parsed head.
func headCharge(bytes, fields int) int64 { return int64(bytes) + int64(fields)*fieldBytes }
