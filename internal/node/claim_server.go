package node

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// claimsServer serves the peers' calls to this node's keeper.
type claimsServer struct{ claims *Claims }

// maxSlotIndex is the largest slot index accepted from peers.
const maxSlotIndex = 1 << 12

func checkSlot(slot *peerpb.KeeperSlot) error {
	if slot.GetVersion() == 0 || slot.GetIndex() < 0 || slot.GetIndex() > maxSlotIndex {
		return twirp.InvalidArgumentError("slot", "has no version or an index out of range")
	}
	return nil
}

// Grant implements peerpb.Claims.
func (s claimsServer) Grant(ctx context.Context, request *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	if err := checkSlot(request.GetSlot()); err != nil {
		return nil, err
	}
	reply, err := callKeeper[claim.GrantReply](ctx, s.claims, decodeGrant(request))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "the keeper did not answer")
	}
	return encodeGrantReply(reply), nil
}

// Complete implements peerpb.Claims.
func (s claimsServer) Complete(ctx context.Context, request *peerpb.CompleteRequest) (*peerpb.CompleteResponse, error) {
	if err := checkSlot(request.GetSlot()); err != nil {
		return nil, err
	}
	reply, err := callKeeper[claim.CompleteReply](ctx, s.claims, decodeComplete(request))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "the keeper did not answer")
	}
	return &peerpb.CompleteResponse{Slot: encodeSlot(reply.Slot)}, nil
}

// Transfer implements peerpb.Claims. If the request is addressed to another process than
// this one, the response carries this process's boot ID and no records.
func (s claimsServer) Transfer(ctx context.Context, request *peerpb.TransferRequest) (*peerpb.TransferResponse, error) {
	if err := checkSlot(request.GetSlot()); err != nil {
		return nil, err
	}
	seat := s.claims.seat
	if request.GetTo() != string(seat.Name) || request.GetToBoot() != seat.Boot {
		return &peerpb.TransferResponse{Boot: seat.Boot}, nil
	}
	reply, err := callKeeper[claim.SealReply](ctx, s.claims, claim.Seal{Slot: decodeSlot(request.GetSlot())})
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "the keeper did not answer")
	}
	return encodeSealReply(seat.Boot, reply), nil
}

// Seats implements peerpb.Claims.
func (s claimsServer) Seats(ctx context.Context, request *peerpb.SeatsRequest) (*peerpb.SeatsResponse, error) {
	slots := make([]claim.Slot, 0, len(request.GetSlots()))
	for _, slot := range request.GetSlots() {
		if err := checkSlot(slot); err != nil {
			return nil, err
		}
		slots = append(slots, decodeSlot(slot))
	}
	s.claims.mergeSlots(slots)
	response := &peerpb.SeatsResponse{Boot: s.claims.seat.Boot}
	settled := s.claims.settledSlots(ctx)
	for _, slot := range slots {
		if version := settled[slot.Index]; version > 0 {
			response.Settled = append(response.Settled, &peerpb.KeeperSettled{Index: int32(slot.Index), Version: version})
		}
	}
	if table := s.claims.currentTable(); request.GetWantTable() && table.Hash() != request.GetTableHash() {
		for _, slot := range table.Slots {
			response.Slots = append(response.Slots, encodeSlot(slot))
		}
	}
	return response, nil
}

// settledSlots returns the settled version of each slot that this keeper has settled, or nil
// if the keeper did not answer.
func (c *Claims) settledSlots(ctx context.Context) map[int]uint64 {
	query := settledQuery{reply: make(chan map[int]uint64, 1)}
	c.dependencies.System.Root.Send(c.pid, query)
	select {
	case settled := <-query.reply:
		return settled
	case <-ctx.Done():
		return nil
	case <-c.lifetime.Done():
		return nil
	}
}
