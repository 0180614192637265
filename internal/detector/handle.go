package detector

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/protocol"
)

// Handle answers a probe from another router. Errors: *StoppedError.
func (d *Detector) Handle(ctx context.Context, request *protocol.GossipRequest) (*protocol.GossipResponse, error) {
	if d.departed.Load() {
		return nil, &StoppedError{}
	}
	response := &protocol.GossipResponse{}
	if target := request.GetProbeTarget(); target != "" {
		response.ProbeSucceeded = d.Check(ctx, target) == nil
	}
	d.update(func(now time.Time, t *table) {
		t.receive(now, request.GetFrom(), request.GetMembers(), request.GetConvictions())
		response.From = t.self
		if request.GetFull() {
			response.Members = t.rows()
			response.Convictions = t.sortedConvictions()
			return
		}
		t.attach(MaxProbeBytes-proto.Size(response), t.correction(request.GetFrom()), &response.Members, &response.Convictions)
	})
	return response, nil
}

// receive applies a probe or an answer that was received from the member in from.
func (t *table) receive(now time.Time, from *protocol.Member, members []*protocol.Member,
	convictions []*protocol.Conviction,
) {
	if from.GetName() != t.self.GetName() {
		t.mergeRow(now, from)
		t.recordContact(from.GetName())
	}
	t.merge(now, members)
	t.mergeConvictions(now, convictions)
}

// correction returns the sender's name if this router knows a newer row of the sender, such as one that declares it
// dead. The answer then carries that row, so that the sender can refute it immediately.
func (t *table) correction(from *protocol.Member) []string {
	known, ok := t.records[from.GetName()]
	if ok && supersedes(known.member, from) {
		return []string{from.GetName()}
	}
	return nil
}

// request returns a probe for a member. Unless the member is alive, the probe carries the member's row, so that it can
// refute.
func (t *table) request(target string) *protocol.GossipRequest {
	request := &protocol.GossipRequest{From: t.self}
	var required []string
	if known, ok := t.records[target]; ok && known.member.GetState() != alive {
		required = []string{target}
	}
	t.attach(MaxProbeBytes-proto.Size(request), required, &request.Members, &request.Convictions)
	return request
}
