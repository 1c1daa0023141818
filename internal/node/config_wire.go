package node

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/twitchtv/twirp"

	"github.com/spanlanding/spanlanding/internal/configsync"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// configService serves the peers' calls to the configuration shell.
type configService struct {
	root    *actor.RootContext
	process *actor.PID
}

var _ peerpb.Config = (*configService)(nil)

// Push implements peerpb.Config.
func (s *configService) Push(ctx context.Context, request *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	objects, err := decodeObjects(request.GetObjects())
	if err != nil {
		return nil, twirp.InvalidArgumentError("objects", err.Error())
	}
	answer := make(chan uint64, 1)
	s.root.Send(s.process, pushCall{
		from: fleet.NodeName(request.GetFrom()),
		push: configsync.Push{
			Space: configsync.VersionSpace(request.GetSpace()),
			Changes: configsync.Changes{
				Since:            request.GetSince(),
				Version:          request.GetVersion(),
				Objects:          objects,
				TombstoneHorizon: request.GetHorizon(),
			},
			BaseHash: request.GetBaseHash(),
			Hash:     request.GetHash(),
		},
		answer: answer,
	})
	select {
	case version := <-answer:
		return &peerpb.PushResponse{Version: version}, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "push was not taken in time")
	}
}

// Digest implements peerpb.Config.
func (s *configService) Digest(ctx context.Context, request *peerpb.DigestRequest) (*peerpb.DigestResponse, error) {
	answer := make(chan configsync.DigestAnswer, 1)
	s.root.Send(s.process, digestCall{
		from: fleet.NodeName(request.GetFrom()),
		digest: configsync.Digest{
			Space:   configsync.VersionSpace(request.GetSpace()),
			Version: request.GetVersion(),
			Hash:    request.GetHash(),
			WantAll: request.GetWantAll(),
		},
		answer: answer,
	})
	select {
	case reply := <-answer:
		return encodeDigestAnswer(reply)
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "digest was not answered in time")
	}
}

func encodeDigest(from fleet.NodeName, digest configsync.Digest) *peerpb.DigestRequest {
	return &peerpb.DigestRequest{
		From:    string(from),
		Version: digest.Version,
		Hash:    digest.Hash,
		Space:   string(digest.Space),
		WantAll: digest.WantAll,
	}
}

func encodeDigestAnswer(answer configsync.DigestAnswer) (*peerpb.DigestResponse, error) {
	objects, err := encodeObjects(answer.Changes.Objects)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.DigestResponse{
		Version: answer.Changes.Version,
		Hash:    answer.Hash,
		Objects: objects,
		Since:   answer.Changes.Since,
		Full:    answer.Full,
		Loaded:  answer.Loaded,
		Same:    answer.InSync,
		Horizon: answer.Changes.TombstoneHorizon,
	}, nil
}

func decodeDigestAnswer(space configsync.VersionSpace, response *peerpb.DigestResponse) (configsync.DigestAnswer, error) {
	objects, err := decodeObjects(response.GetObjects())
	if err != nil {
		return configsync.DigestAnswer{}, err
	}
	return configsync.DigestAnswer{
		Space: space,
		Changes: configsync.Changes{
			Since:            response.GetSince(),
			Version:          response.GetVersion(),
			Objects:          objects,
			TombstoneHorizon: response.GetHorizon(),
		},
		Hash:   response.GetHash(),
		Full:   response.GetFull(),
		Loaded: response.GetLoaded(),
		InSync: response.GetSame(),
	}, nil
}

func encodeObjects(objects []objectstore.Object) ([]*peerpb.ConfigObject, error) {
	encoded := make([]*peerpb.ConfigObject, 0, len(objects))
	for _, object := range objects {
		body, err := json.Marshal(object)
		if err != nil {
			return nil, fmt.Errorf("object %s/%s: %w", object.Kind, object.Name, err)
		}
		encoded = append(encoded, &peerpb.ConfigObject{
			Kind:    object.Kind,
			Name:    object.Name,
			Version: object.Version,
			Deleted: object.Deleted,
			Body:    body,
		})
	}
	return encoded, nil
}

func decodeObjects(encoded []*peerpb.ConfigObject) ([]objectstore.Object, error) {
	objects := make([]objectstore.Object, 0, len(encoded))
	for _, wire := range encoded {
		var object objectstore.Object
		if err := json.Unmarshal(wire.GetBody(), &object); err != nil {
			return nil, fmt.Errorf("object %s/%s: %w", wire.GetKind(), wire.GetName(), err)
		}
		objects = append(objects, object)
	}
	return objects, nil
}

// pushEncoder encodes a push once for all the peers that receive it.
type pushEncoder struct {
	last    *configsync.Changes
	request *peerpb.PushRequest
}

func (e *pushEncoder) encode(from fleet.NodeName, push configsync.Push) *peerpb.PushRequest {
	changes := push.Changes
	if e.request != nil && e.request.Space == string(push.Space) && isSameSlice(e.last.Objects, changes.Objects) &&
		e.last.Since == changes.Since && e.last.Version == changes.Version {
		return e.request
	}
	// An object that was decoded can be encoded again. If encoding fails all
	// the same, the digests, which encode the same objects, report the error.
	objects, err := encodeObjects(changes.Objects)
	if err != nil {
		objects = nil
		changes.Version = 0
	}
	e.last = &changes
	e.request = &peerpb.PushRequest{
		From:     string(from),
		Version:  changes.Version,
		Since:    changes.Since,
		Space:    string(push.Space),
		Objects:  objects,
		Horizon:  changes.TombstoneHorizon,
		BaseHash: push.BaseHash,
		Hash:     push.Hash,
	}
	return e.request
}

// isSameSlice reports whether both are the same slice; it does not compare contents.
func isSameSlice(one, other []objectstore.Object) bool {
	return len(one) == len(other) && (len(one) == 0 || &one[0] == &other[0])
}
