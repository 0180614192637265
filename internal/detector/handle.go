package detector

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootplank/internal/protocol"
)

// Handle answers a probe of another router. Errors: *StoppedError.
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

// receive applies the content of a probe or answer that came directly from its sender.
func (t *table) receive(now time.Time, from *protocol.Member, members []*protocol.Member, convictions []*protocol.Conviction) {
	if from.GetName() != t.self.GetName() {
		t.mergeRow(now, from)
		t.answered(from.GetName())
	}
	t.merge(now, members)
	t.mergeConvictions(now, convictions)
}

// correction names the sender if this router knows something newer about it, such as that it is held for dead,
// so that the answer carries it and the sender refutes at once.
func (t *table) correction(from *protocol.Member) []string {
	known, ok := t.records[from.GetName()]
	if ok && supersedes(known.member, from) {
		return []string{from.GetName()}
	}
	return nil
}

// request returns a probe for a member; its row goes along unless it is simply alive, so that the member can
// refute.
func (t *table) request(target string) *protocol.GossipRequest {
	request := &protocol.GossipRequest{From: t.self}
	var first []string
	if known, ok := t.records[target]; ok && known.member.GetState() != alive {
		first = []string{target}
	}
	t.attach(MaxProbeBytes-proto.Size(request), first, &request.Members, &request.Convictions)
	return request
}
