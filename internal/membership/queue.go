package membership

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// updateQueue holds the updates that remain to be sent, those sent the fewest times first.
type updateQueue struct {
	items []*queuedUpdate
	order uint64
	// local counts the items about this zone.
	local int
}

type queuedUpdate struct {
	key string
	// otherZone marks updates about other zones, which go after those about this zone.
	otherZone     bool
	member        *peerpb.GossipMember
	zone          *peerpb.GossipZone
	size          int
	transmissions int
	order         uint64
}

// update is one piece of state to disseminate; a later one with the same key replaces it.
type update struct {
	key    string
	member *peerpb.GossipMember
	zone   *peerpb.GossipZone
}

// fieldOverheadBytes is the maximum size of a field's tag and length.
const fieldOverheadBytes = 4

func (q *updateQueue) add(added update, otherZone bool) {
	q.items = slices.DeleteFunc(q.items, func(item *queuedUpdate) bool { return item.key == added.key })
	q.order++
	item := &queuedUpdate{key: added.key, otherZone: otherZone, member: added.member, zone: added.zone, order: q.order}
	item.size = fieldOverheadBytes
	if added.member != nil {
		item.size += proto.Size(added.member)
	}
	if added.zone != nil {
		item.size += proto.Size(added.zone)
	}
	q.items = append(q.items, item)
	q.count()
}

func (q *updateQueue) count() {
	q.local = 0
	for _, item := range q.items {
		if !item.otherZone {
			q.local++
		}
	}
}

// fill adds updates to the packet while they fit, with at most otherZoneBytes about other zones,
// and drops those that were sent often enough.
func (q *updateQueue) fill(packet *peerpb.GossipPacket, available, otherZoneBytes, retransmits int) {
	slices.SortFunc(q.items, func(first, second *queuedUpdate) int {
		return cmp.Or(
			cmp.Compare(first.transmissions, second.transmissions),
			compareBool(first.otherZone, second.otherZone),
			cmp.Compare(second.order, first.order),
		)
	})
	for _, item := range q.items {
		if item.size > available || item.otherZone && item.size > otherZoneBytes {
			continue
		}
		available -= item.size
		if item.otherZone {
			otherZoneBytes -= item.size
		}
		item.transmissions++
		if item.member != nil {
			packet.Members = append(packet.Members, item.member)
		}
		if item.zone != nil {
			packet.Zones = append(packet.Zones, item.zone)
		}
	}
	q.items = slices.DeleteFunc(q.items, func(item *queuedUpdate) bool { return item.transmissions >= retransmits })
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
