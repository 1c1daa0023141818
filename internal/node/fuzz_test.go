package node

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/configsync"
	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// FuzzSettings checks that each finding points into the content, and that settings without
// findings are complete: completing them again changes nothing.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	for _, file := range []string{
		"testdata/broken-settings.yaml", "../../examples/settings/oslo-a-1.yaml", "../../examples/settings/oslo-a-2.yaml",
	} {
		content, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		draft := Draft{}
		draft.positions, draft.findings = spec.DecodeDocument("fuzz.yaml", content, &draft.Settings)
		settings, findings := draft.Complete()
		for _, finding := range findings {
			if finding.Line < 1 || finding.Column < 1 || finding.Problem == "" || finding.Remedy == "" {
				t.Errorf("finding without position or text: %#v", finding)
			}
		}
		if len(findings) > 0 {
			return
		}
		again, err := settings.Complete()
		if err != nil {
			t.Fatal(err)
		}
		if difference := cmp.Diff(settings, again); difference != "" {
			t.Fatalf("completing again changed the settings (-once +twice):\n%s", difference)
		}
	})
}

// peerMessageCase is one kind of message received from peers, and the check of what is
// decoded from it.
type peerMessageCase struct {
	message proto.Message
	check   func(t *testing.T, message proto.Message)
}

// requireEqual fails the test unless a decoded value is unchanged after it was encoded and
// decoded again.
func requireEqual[T any](t *testing.T, first, second T) {
	t.Helper()
	if difference := cmp.Diff(first, second); difference != "" {
		t.Fatalf("decoded value changed (-decoded +encoded and decoded):\n%s", difference)
	}
}

// peerMessageCases are all kinds of peer messages that this package decodes.
var peerMessageCases = []peerMessageCase{
	{&peerpb.GrantRequest{}, func(t *testing.T, message proto.Message) {
		grant := decodeGrant(message.(*peerpb.GrantRequest))
		millis := message.(*peerpb.GrantRequest).GetWindowMillis()
		if grant.Window.Milliseconds() != millis && (millis > 0) != (grant.Window > 1<<62) {
			t.Fatalf("a window of %d ms became %s", millis, grant.Window)
		}
		requireEqual(t, grant, decodeGrant(encodeGrant(grant)))
	}},
	{&peerpb.GrantResponse{}, func(t *testing.T, message proto.Message) {
		reply := decodeGrantReply(message.(*peerpb.GrantResponse))
		if reply.Vote == claim.VoteGranted && message.(*peerpb.GrantResponse).GetVerdict() != peerpb.GrantResponse_GRANTED {
			t.Fatal("a verdict other than GRANTED was decoded as a grant")
		}
		requireEqual(t, reply, decodeGrantReply(encodeGrantReply(reply)))
	}},
	{&peerpb.CompleteRequest{}, func(t *testing.T, message proto.Message) {
		complete := decodeComplete(message.(*peerpb.CompleteRequest))
		requireEqual(t, complete, decodeComplete(encodeComplete(complete)))
	}},
	{&peerpb.TransferResponse{}, func(t *testing.T, message proto.Message) {
		reply := decodeSealReply(message.(*peerpb.TransferResponse))
		if reply.KnownFor < 0 {
			t.Fatalf("known for %s", reply.KnownFor)
		}
		requireEqual(t, reply, decodeSealReply(encodeSealReply(1, reply)))
	}},
	{&peerpb.SeatsResponse{}, func(t *testing.T, message proto.Message) {
		table, _ := claim.Table{}.Merge(validSlots(decodeSlots(message.(*peerpb.SeatsResponse).GetSlots())))
		if len(table.Slots) > maxSlotIndex+1 {
			t.Fatalf("a table of %d slots", len(table.Slots))
		}
	}},
	{&peerpb.DigestResponse{}, func(t *testing.T, message proto.Message) {
		answer, err := decodeDigestAnswer(configsync.SpaceMachines, message.(*peerpb.DigestResponse))
		if err != nil {
			return
		}
		encoded, err := encodeDigestAnswer(answer)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeDigestAnswer(configsync.SpaceMachines, encoded)
		if err != nil {
			t.Fatal(err)
		}
		requireEqualJSON(t, answer, again)
	}},
	{&peerpb.RouteTableUpdate{}, func(t *testing.T, message proto.Message) {
		update, err := decodeUpdate(message.(*peerpb.RouteTableUpdate))
		if err != nil {
			return
		}
		encoded, err := encodeUpdate(update)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeUpdate(encoded)
		if err != nil {
			t.Fatal(err)
		}
		requireEqualJSON(t, update, again)
	}},
	{&peerpb.WantReport{}, func(t *testing.T, message proto.Message) {
		wants := decodeWants(message.(*peerpb.WantReport).GetWants())
		requireEqual(t, wants, decodeWants(encodeWants(wants)))
	}},
}

// requireEqualJSON compares values by their JSON encoding. They contain raw JSON, in which
// white space is insignificant.
func requireEqualJSON(t *testing.T, first, second any) {
	t.Helper()
	one, err := json.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	other, err := json.Marshal(second)
	if err != nil {
		t.Fatal(err)
	}
	requireEqual(t, string(one), string(other))
}

// FuzzPeerMessage checks that no message from a peer makes decoding panic, decodes to more
// than it says, or changes when it is encoded and decoded again.
func FuzzPeerMessage(f *testing.F) {
	for kind, message := range peerSeeds(f) {
		encoded, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(kind), encoded)
	}
	for kind, message := range outOfRange {
		encoded, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(kind, encoded)
	}
	f.Fuzz(func(t *testing.T, kind uint8, data []byte) {
		chosen := peerMessageCases[int(kind)%len(peerMessageCases)]
		message := proto.Clone(chosen.message)
		if proto.Unmarshal(data, message) == nil {
			chosen.check(t, message)
		}
	})
}

// outOfRange holds messages with values that no node sends, by their index in
// peerMessageCases.
var outOfRange = map[uint8]proto.Message{
	0: &peerpb.GrantRequest{Key: "k", WindowMillis: 1<<62 + 1},
	1: &peerpb.GrantResponse{Verdict: 99, RetryAfterMillis: -1 << 63},
	2: &peerpb.CompleteRequest{Outcome: 99, WindowMillis: 1 << 60},
	3: &peerpb.TransferResponse{KnownForMillis: 1 << 62, Records: []*peerpb.TransferRecord{{ExpiresInMillis: 1 << 61}}},
	4: &peerpb.SeatsResponse{Slots: []*peerpb.KeeperSlot{{Index: 1 << 30, Version: 1}, {Index: -1, Version: 1}}},
	5: &peerpb.DigestResponse{Objects: []*peerpb.ConfigObject{{Body: []byte("null")}, {Body: []byte(`{"version":-1}`)}}},
	6: &peerpb.RouteTableUpdate{Table: []byte(`{"engines":[{"models":null,"memoryBytes":-1}]}`)},
	7: &peerpb.WantReport{Wants: []*peerpb.Want{{Waiting: -1 << 63, DeadlineUnixNano: -1 << 63}}},
}

// peerSeeds returns a complete message of each kind, in the order of peerMessageCases.
func peerSeeds(f *testing.F) []proto.Message {
	slot := claim.Slot{Index: 3, Version: 2, Seats: []claim.Seat{{Name: "a", Boot: 1, Address: "10.0.0.1:3"}},
		Previous: [][]claim.Seat{{{Name: "b", Boot: 2, Address: "10.0.0.2:3"}}}}
	answer := &claim.Answer{Status: 200, ContentType: "text/plain", Body: []byte("done")}
	digest, err := encodeDigestAnswer(configsync.DigestAnswer{Changes: configsync.Changes{Version: 9, Objects: testObjects()}})
	if err != nil {
		f.Fatal(err)
	}
	update, err := encodeUpdate(control.TableUpdate{Table: fleet.RouteTable{Zone: "a", Leader: "n", Engines: []fleet.EngineState{
		{Backend: fleet.Backend{Name: "e"}, Models: []fleet.LoadedModel{{Model: fleet.ModelVersion{Model: "m", Version: "v"}}}},
	}}, Removed: []fleet.BackendName{"gone"}})
	if err != nil {
		f.Fatal(err)
	}
	return []proto.Message{
		encodeGrant(claim.Grant{Key: "k", Attempt: "t", Node: "n", Window: 1 << 30, Slot: slot}),
		encodeGrantReply(claim.GrantReply{Vote: claim.VoteDone, Answer: answer, Slot: slot}),
		encodeComplete(claim.Complete{Key: "k", Attempt: "t", Outcome: claim.Ran, Answer: answer, Slot: slot}),
		encodeSealReply(1, claim.SealReply{Settled: true, Records: []claim.TransferredRecord{{Key: "k", Holders: []string{"t"}, Answer: answer}}}),
		&peerpb.SeatsResponse{Slots: []*peerpb.KeeperSlot{encodeSlot(slot)}},
		digest,
		update,
		&peerpb.WantReport{Wants: encodeWants([]fleet.Want{{Model: fleet.ModelVersion{Model: "m", Version: "v"}, Node: "n", Waiting: 2}})},
	}
}
