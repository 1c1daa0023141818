package node

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/configsync"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

func testObjects() []objectstore.Object {
	return []objectstore.Object{
		{Kind: "Model", Name: "report", Version: 7, ChangeID: "c", ChangedBy: "op",
			Labels: map[string]string{"tier": "gold"}, Spec: json.RawMessage(`{"versions":[]}`)},
		{Kind: "Adapter", Name: "insurer", Version: 8, Deleted: true},
	}
}

func TestDigestAnswerKeepsEveryField(t *testing.T) {
	want := configsync.DigestAnswer{
		Space:   configsync.SpaceMachines,
		Changes: configsync.Changes{Since: 3, Version: 9, Objects: testObjects(), TombstoneHorizon: 2},
		Hash:    5,
		Full:    true,
		InSync:  true,
		Loaded:  true,
	}
	encoded, err := encodeDigestAnswer(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeDigestAnswer(configsync.SpaceMachines, encoded)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(want, got); difference != "" {
		t.Error(difference)
	}
}

func TestPushIsEncodedOnceForAllPeers(t *testing.T) {
	encoder := &pushEncoder{}
	push := configsync.Push{Changes: configsync.Changes{Since: 3, Version: 9, Objects: testObjects()}}
	first := encoder.encode("a", push)
	if second := encoder.encode("a", push); second != first {
		t.Error("the same push was encoded again")
	}
	push.Changes.Version = 10
	if third := encoder.encode("a", push); third == first || third.GetVersion() != 10 {
		t.Errorf("a different push was treated as the same: %v", third)
	}
}

func TestDigestIsSmall(t *testing.T) {
	const limit = 64
	request := encodeDigest("vestjylland-1-node-007", configsync.Digest{Version: 1 << 40, Hash: 1 << 63})
	response := &peerpb.DigestResponse{Version: 1 << 40, Hash: 1 << 63, Since: 1 << 40, Horizon: 1 << 40, Loaded: true}
	t.Logf("digest %d bytes, answer %d bytes", proto.Size(request), proto.Size(response))
	if proto.Size(request) > limit || proto.Size(response) > limit {
		t.Errorf("digest %d bytes, answer %d bytes", proto.Size(request), proto.Size(response))
	}
}
