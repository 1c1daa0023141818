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

// validSlots drops slots whose index is out of range: a table allocates memory for each
// index up to the largest.
func validSlots(slots []claim.Slot) []claim.Slot {
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

// votesByVerdict maps the verdicts of the peer protocol to votes.
var votesByVerdict = map[peerpb.GrantResponse_Verdict]claim.Vote{
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
	for verdict, paired := range votesByVerdict {
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
		Window:      durationFromMillis(request.GetWindowMillis()),
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
		Vote:       votesByVerdict[response.GetVerdict()],
		Answer:     decodeAnswer(response.GetAnswer()),
		Holder:     response.GetHolder(),
		Slot:       decodeSlot(response.GetSlot()),
		RetryAfter: durationFromMillis(response.GetRetryAfterMillis()),
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
		Window:      durationFromMillis(request.GetWindowMillis()),
		Outcome:     claim.Outcome(request.GetOutcome()),
		Answer:      decodeAnswer(request.GetAnswer()),
		Slot:        decodeSlot(request.GetSlot()),
	}
}

// knowsAllMillis is the value of KnownForMillis that stands for SealReply.KnowsAll.
const knowsAllMillis = -1

func encodeSealReply(boot uint64, reply claim.SealReply) *peerpb.TransferResponse {
	response := &peerpb.TransferResponse{
		Boot:           boot,
		Settled:        reply.Settled,
		KnownForMillis: reply.KnownFor.Milliseconds(),
	}
	if reply.KnowsAll {
		response.KnownForMillis = knowsAllMillis
	}
	for _, transferred := range reply.Records {
		record := &peerpb.TransferRecord{
			Key:                 transferred.Key,
			Fingerprint:         transferred.Fingerprint,
			Holders:             transferred.Holders,
			Released:            transferred.Released,
			Node:                string(transferred.Node),
			ExpiresInMillis:     ceilMillis(transferred.ExpiresIn),
			AttemptEndsInMillis: ceilMillis(transferred.AttemptEndsIn),
			Done:                transferred.Done,
			Answer:              encodeAnswer(transferred.Answer),
		}
		response.Records = append(response.Records, record)
	}
	return response
}

func decodeSealReply(response *peerpb.TransferResponse) claim.SealReply {
	reply := claim.SealReply{
		Settled:  response.GetSettled(),
		KnowsAll: response.GetKnownForMillis() == knowsAllMillis,
		KnownFor: durationFromMillis(max(0, response.GetKnownForMillis())),
	}
	for _, record := range response.GetRecords() {
		reply.Records = append(reply.Records, claim.TransferredRecord{
			Key:           record.GetKey(),
			Fingerprint:   record.GetFingerprint(),
			Holders:       record.GetHolders(),
			Released:      record.GetReleased(),
			Node:          fleet.NodeName(record.GetNode()),
			ExpiresIn:     durationFromMillis(record.GetExpiresInMillis()),
			AttemptEndsIn: durationFromMillis(record.GetAttemptEndsInMillis()),
			Done:          record.GetDone(),
			Answer:        decodeAnswer(record.GetAnswer()),
		})
	}
	return reply
}

// maxDurationMillis is the longest time.Duration in milliseconds.
const maxDurationMillis = int64(math.MaxInt64 / time.Millisecond)

// durationFromMillis limits the count to what a time.Duration holds: after an overflow a
// record would expire at once.
func durationFromMillis(count int64) time.Duration {
	return time.Duration(max(-maxDurationMillis, min(count, maxDurationMillis))) * time.Millisecond
}

// ceilMillis rounds up, so that the lifetime of a record is never shortened.
func ceilMillis(duration time.Duration) int64 {
	whole := duration.Milliseconds()
	if duration%time.Millisecond > 0 {
		whole++
	}
	return whole
}
