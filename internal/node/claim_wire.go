package node

import (
	"math"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

func encodeSeats(seats []claim.Seat) []*peerpb.KeeperSeat {
	encoded := make([]*peerpb.KeeperSeat, 0, len(seats))
	for _, seat := range seats {
		encoded = append(encoded, &peerpb.KeeperSeat{Name: string(seat.Name), Boot: seat.Boot, Address: seat.Address})
	}
	return encoded
}

func decodeSeats(encoded []*peerpb.KeeperSeat) []claim.Seat {
	seats := make([]claim.Seat, 0, len(encoded))
	for _, seat := range encoded {
		seats = append(seats, claim.Seat{
			Name:    fleet.NodeName(seat.GetName()),
			Boot:    seat.GetBoot(),
			Address: seat.GetAddress(),
		})
	}
	return seats
}

func encodeSlot(slot claim.Slot) *peerpb.KeeperSlot {
	encoded := &peerpb.KeeperSlot{
		Index:   int32(slot.Index),
		Version: slot.Version,
		Seats:   encodeSeats(slot.Seats),
	}
	for _, generation := range slot.Previous {
		encoded.Previous = append(encoded.Previous, &peerpb.KeeperGeneration{Seats: encodeSeats(generation)})
	}
	return encoded
}

func decodeSlot(encoded *peerpb.KeeperSlot) claim.Slot {
	slot := claim.Slot{
		Index:   int(encoded.GetIndex()),
		Version: encoded.GetVersion(),
		Seats:   decodeSeats(encoded.GetSeats()),
	}
	for _, generation := range encoded.GetPrevious() {
		slot.Previous = append(slot.Previous, decodeSeats(generation.GetSeats()))
	}
	return slot
}

// usableSlots leaves out what no table has: each index up to the largest takes
// memory in a table.
func usableSlots(slots []claim.Slot) []claim.Slot {
	return slices.DeleteFunc(slices.Clone(slots), func(slot claim.Slot) bool {
		return slot.Index < 0 || slot.Index > maxSlotIndex
	})
}

func encodeAnswer(answer *claim.Answer) *peerpb.StoredAnswer {
	if answer == nil {
		return nil
	}
	return &peerpb.StoredAnswer{
		Status:      int32(answer.Status),
		ContentType: answer.ContentType,
		Body:        answer.Body,
		BodyOmitted: answer.BodyOmitted,
	}
}

func decodeAnswer(encoded *peerpb.StoredAnswer) *claim.Answer {
	if encoded == nil {
		return nil
	}
	return &claim.Answer{
		Status:      int(encoded.GetStatus()),
		ContentType: encoded.GetContentType(),
		Body:        encoded.GetBody(),
		BodyOmitted: encoded.GetBodyOmitted(),
	}
}

// votes pairs the wire's verdicts with the core's votes.
var votes = map[peerpb.GrantResponse_Verdict]claim.Vote{
	peerpb.GrantResponse_GRANTED:     claim.VoteGranted,
	peerpb.GrantResponse_IN_PROGRESS: claim.VoteInProgress,
	peerpb.GrantResponse_DONE:        claim.VoteDone,
	peerpb.GrantResponse_MISMATCH:    claim.VoteMismatch,
	peerpb.GrantResponse_UNKNOWN:     claim.VoteUnknown,
	peerpb.GrantResponse_TOO_YOUNG:   claim.VoteIncompleteHistory,
	peerpb.GrantResponse_FULL:        claim.VoteFull,
	peerpb.GrantResponse_STALE:       claim.VoteStale,
}

func encodeVote(vote claim.Vote) peerpb.GrantResponse_Verdict {
	for verdict, paired := range votes {
		if paired == vote {
			return verdict
		}
	}
	return peerpb.GrantResponse_VERDICT_UNSPECIFIED
}

func encodeGrant(grant claim.Grant) *peerpb.GrantRequest {
	return &peerpb.GrantRequest{
		Key:          grant.Key,
		Fingerprint:  grant.Fingerprint,
		Attempt:      grant.Attempt,
		Node:         string(grant.Node),
		WindowMillis: grant.Window.Milliseconds(),
		Slot:         encodeSlot(grant.Slot),
	}
}

func decodeGrant(request *peerpb.GrantRequest) claim.Grant {
	return claim.Grant{
		Key:         request.GetKey(),
		Fingerprint: request.GetFingerprint(),
		Attempt:     request.GetAttempt(),
		Node:        fleet.NodeName(request.GetNode()),
		Window:      milliseconds(request.GetWindowMillis()),
		Slot:        decodeSlot(request.GetSlot()),
	}
}

func encodeGrantReply(reply claim.GrantReply) *peerpb.GrantResponse {
	return &peerpb.GrantResponse{
		Verdict:          encodeVote(reply.Vote),
		Answer:           encodeAnswer(reply.Answer),
		Holder:           reply.Holder,
		Slot:             encodeSlot(reply.Slot),
		RetryAfterMillis: reply.RetryAfter.Milliseconds(),
	}
}

func decodeGrantReply(response *peerpb.GrantResponse) claim.GrantReply {
	return claim.GrantReply{
		Vote:       votes[response.GetVerdict()],
		Answer:     decodeAnswer(response.GetAnswer()),
		Holder:     response.GetHolder(),
		Slot:       decodeSlot(response.GetSlot()),
		RetryAfter: milliseconds(response.GetRetryAfterMillis()),
	}
}

func encodeComplete(complete claim.Complete) *peerpb.CompleteRequest {
	return &peerpb.CompleteRequest{
		Key:          complete.Key,
		Fingerprint:  complete.Fingerprint,
		Attempt:      complete.Attempt,
		WindowMillis: complete.Window.Milliseconds(),
		Outcome:      peerpb.CompleteRequest_Outcome(complete.Outcome),
		Answer:       encodeAnswer(complete.Answer),
		Slot:         encodeSlot(complete.Slot),
	}
}

func decodeComplete(request *peerpb.CompleteRequest) claim.Complete {
	return claim.Complete{
		Key:         request.GetKey(),
		Fingerprint: request.GetFingerprint(),
		Attempt:     request.GetAttempt(),
		Window:      milliseconds(request.GetWindowMillis()),
		Outcome:     claim.Outcome(request.GetOutcome()),
		Answer:      decodeAnswer(request.GetAnswer()),
		Slot:        decodeSlot(request.GetSlot()),
	}
}

// alwaysMillis stands for a keeper that knows of all time.
const alwaysMillis = -1

func encodeSealReply(boot uint64, reply claim.SealReply) *peerpb.TransferResponse {
	response := &peerpb.TransferResponse{
		Boot:           boot,
		Settled:        reply.Settled,
		KnownForMillis: reply.KnownFor.Milliseconds(),
	}
	if reply.KnowsAll {
		response.KnownForMillis = alwaysMillis
	}
	for _, held := range reply.Records {
		record := &peerpb.TransferRecord{
			Key:                 held.Key,
			Fingerprint:         held.Fingerprint,
			Holders:             held.Holders,
			Released:            held.Released,
			Node:                string(held.Node),
			ExpiresInMillis:     roundUp(held.ExpiresIn),
			AttemptEndsInMillis: roundUp(held.AttemptEndsIn),
			Done:                held.Done,
			Answer:              encodeAnswer(held.Answer),
		}
		response.Records = append(response.Records, record)
	}
	return response
}

func decodeSealReply(response *peerpb.TransferResponse) claim.SealReply {
	reply := claim.SealReply{
		Settled:  response.GetSettled(),
		KnowsAll: response.GetKnownForMillis() == alwaysMillis,
		KnownFor: milliseconds(max(0, response.GetKnownForMillis())),
	}
	for _, record := range response.GetRecords() {
		reply.Records = append(reply.Records, claim.TransferredRecord{
			Key:           record.GetKey(),
			Fingerprint:   record.GetFingerprint(),
			Holders:       record.GetHolders(),
			Released:      record.GetReleased(),
			Node:          fleet.NodeName(record.GetNode()),
			ExpiresIn:     milliseconds(record.GetExpiresInMillis()),
			AttemptEndsIn: milliseconds(record.GetAttemptEndsInMillis()),
			Done:          record.GetDone(),
			Answer:        decodeAnswer(record.GetAnswer()),
		})
	}
	return reply
}

// mostMillis is the longest span that a time.Duration holds.
const mostMillis = int64(math.MaxInt64 / time.Millisecond)

// milliseconds keeps a span that is too long as long as can be: wrapped round,
// a record would be forgotten at once.
func milliseconds(count int64) time.Duration {
	return time.Duration(max(-mostMillis, min(count, mostMillis))) * time.Millisecond
}

// roundUp never makes a record's life shorter.
func roundUp(duration time.Duration) int64 {
	whole := duration.Milliseconds()
	if duration%time.Millisecond > 0 {
		whole++
	}
	return whole
}
