package membership

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// queue holds the updates that still have to be sent, the least sent first.
type queue struct {
	items []*queued
	order uint64
	// local counts the items of the own zone.
	local int
}

type queued struct {
	key string
	// foreign marks news of other zones, which goes after that of the own.
	foreign bool
	member  *peerpb.GossipMember
	zone    *peerpb.GossipZone
	bytes   int
	sent    int
	order   uint64
}

// update is a piece of news; a later one with the same key replaces it.
type update struct {
	key    string
	member *peerpb.GossipMember
	zone   *peerpb.GossipZone
}

// fieldOverheadBytes is the most that tag and length of a field take.
const fieldOverheadBytes = 4

func (q *queue) add(news update, foreign bool) {
	q.items = slices.DeleteFunc(q.items, func(item *queued) bool { return item.key == news.key })
	q.order++
	item := &queued{key: news.key, foreign: foreign, member: news.member, zone: news.zone, order: q.order}
	item.bytes = fieldOverheadBytes
	if news.member != nil {
		item.bytes += proto.Size(news.member)
	}
	if news.zone != nil {
		item.bytes += proto.Size(news.zone)
	}
	q.items = append(q.items, item)
	q.count()
}

func (q *queue) count() {
	q.local = 0
	for _, item := range q.items {
		if !item.foreign {
			q.local++
		}
	}
}

// fill adds updates to the packet while they fit, at most foreignBytes of
// other zones' news, and drops those that were sent often enough.
func (q *queue) fill(packet *peerpb.GossipPacket, room, foreignBytes, retransmits int) {
	slices.SortFunc(q.items, func(first, second *queued) int {
		return cmp.Or(
			cmp.Compare(first.sent, second.sent),
			compareBool(first.foreign, second.foreign),
			cmp.Compare(second.order, first.order),
		)
	})
	for _, item := range q.items {
		if item.bytes > room || item.foreign && item.bytes > foreignBytes {
			continue
		}
		room -= item.bytes
		if item.foreign {
			foreignBytes -= item.bytes
		}
		item.sent++
		if item.member != nil {
			packet.Members = append(packet.Members, item.member)
		}
		if item.zone != nil {
			packet.Zones = append(packet.Zones, item.zone)
		}
	}
	q.items = slices.DeleteFunc(q.items, func(item *queued) bool { return item.sent >= retransmits })
	q.count()
}

func compareBool(first, second bool) int {
	switch {
	case first == second:
		return 0
	case second:
		return -1
	default:
		return 1
	}
}
