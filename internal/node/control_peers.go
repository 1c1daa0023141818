package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// queryActor runs a function in the actor and returns its result, or an error if the context
// or the shell ends first.
func queryActor[T any](s *Control, ctx context.Context, question func(*Control) T) (T, error) {
	answer := make(chan T, 1)
	s.send(query{run: func(shell *Control) { answer <- question(shell) }})
	select {
	case value := <-answer:
		return value, nil
	case <-ctx.Done():
		var zero T
		return zero, twirp.NewError(twirp.DeadlineExceeded, "not answered in time")
	case <-s.lifetime.Done():
		var zero T
		return zero, twirp.NewError(twirp.Unavailable, "the node stops")
	}
}

// publishTable sends an update to each member independently.
func (s *Control) publishTable(effect control.PublishTable) {
	update, err := encodeUpdate(effect.Update)
	if err != nil {
		s.logFailure("table_not_encoded", err)
		return
	}
	update.From = string(s.dependencies.Self.Name)
	for _, member := range effect.To {
		go func() {
			ctx, cancel := s.withTimeout(peerCallTimeout)
			defer cancel()
			// If an update is lost, the receiver's next pull repairs it.
			_, _ = s.dependencies.Peers.To(member.Addresses.Peer).Control.Publish(ctx, update)
		}()
	}
}

func encodeUpdate(update control.TableUpdate) (*peerpb.RouteTableUpdate, error) {
	table, err := json.Marshal(update.Table)
	if err != nil {
		return nil, err
	}
	encoded := &peerpb.RouteTableUpdate{
		Zone:     string(update.Table.Zone),
		Fence:    uint64(update.Table.Fence),
		Sequence: update.Table.Sequence,
		Since:    update.BaseSequence,
		Leader:   string(update.Table.Leader),
		Table:    table,
	}
	for _, report := range update.Reports {
		encoded.Reports = append(encoded.Reports, encodeReport(report))
	}
	for _, name := range update.Removed {
		encoded.Removed = append(encoded.Removed, string(name))
	}
	return encoded, nil
}

func decodeUpdate(encoded *peerpb.RouteTableUpdate) (control.TableUpdate, error) {
	update := control.TableUpdate{BaseSequence: encoded.GetSince()}
	if err := json.Unmarshal(encoded.GetTable(), &update.Table); err != nil {
		return update, fmt.Errorf("table of zone %s: %w", encoded.GetZone(), err)
	}
	for _, report := range encoded.GetReports() {
		update.Reports = append(update.Reports, decodeReport(report))
	}
	for _, name := range encoded.GetRemoved() {
		update.Removed = append(update.Removed, fleet.BackendName(name))
	}
	return update, nil
}

func (s *Control) pullTables(effect control.PullTables) {
	ctx, cancel := s.withTimeout(peerCallTimeout)
	defer cancel()
	request := &peerpb.TablesRequest{From: string(s.dependencies.Self.Name)}
	for _, stamp := range effect.Held {
		request.Held = append(request.Held, &peerpb.TableStamp{
			Zone: string(stamp.Zone), Fence: uint64(stamp.Fence), Sequence: stamp.Sequence,
		})
	}
	response, err := s.dependencies.Peers.To(effect.From.Addresses.Peer).Control.Tables(ctx, request)
	if err != nil {
		return
	}
	pulled := control.TablesPulled{From: effect.From.Name}
	for _, encoded := range response.GetTables() {
		update, err := decodeUpdate(encoded)
		if err != nil {
			s.logFailure("table_unreadable", err)
			continue
		}
		pulled.Tables = append(pulled.Tables, update.Table)
	}
	s.send(pulled)
}

func (s *Control) forwardWants(effect control.ForwardWants) {
	ctx, cancel := s.withTimeout(peerCallTimeout)
	defer cancel()
	response, err := s.dependencies.Peers.To(effect.To.Addresses.Peer).Control.Report(ctx, &peerpb.WantReport{
		From:      string(s.dependencies.Self.Name),
		Wants:     encodeWants(effect.Wants),
		Forwarded: effect.Forwarded,
	})
	answer := control.ForwardAnswered{To: effect.To.Name, Wants: effect.Wants, Failed: err != nil}
	for _, refusal := range response.GetRefusals() {
		answer.Refusals = append(answer.Refusals, fleet.LoadRefusal{
			Model:      fleet.ModelVersion{Model: refusal.GetModel(), Version: refusal.GetVersion()},
			Regions:    fleet.Regions(refusal.GetRegions()),
			Reason:     refusal.GetReason(),
			RetryAfter: time.Duration(refusal.GetRetryAfterMillis()) * time.Millisecond,
		})
	}
	s.send(answer)
}

func encodeWants(wants []fleet.Want) []*peerpb.Want {
	encoded := make([]*peerpb.Want, 0, len(wants))
	for _, want := range wants {
		encoded = append(encoded, &peerpb.Want{
			Model:            want.Model.Model,
			Version:          want.Model.Version,
			Adapter:          string(want.Adapter),
			Regions:          string(want.Regions),
			Node:             string(want.Node),
			Zone:             string(want.Zone),
			Waiting:          int64(want.Waiting),
			Priority:         int64(want.Priority),
			DeadlineUnixNano: want.Deadline.UnixNano(),
			Arrivals:         int64(want.Arrivals),
		})
	}
	return encoded
}

func decodeWants(encoded []*peerpb.Want) []fleet.Want {
	wants := make([]fleet.Want, 0, len(encoded))
	for _, want := range encoded {
		wants = append(wants, fleet.Want{
			Model:    fleet.ModelVersion{Model: want.GetModel(), Version: want.GetVersion()},
			Adapter:  fleet.AdapterName(want.GetAdapter()),
			Regions:  fleet.Regions(want.GetRegions()),
			Node:     fleet.NodeName(want.GetNode()),
			Zone:     fleet.Zone(want.GetZone()),
			Waiting:  int(want.GetWaiting()),
			Priority: int(want.GetPriority()),
			Deadline: time.Unix(0, want.GetDeadlineUnixNano()),
			Arrivals: int(want.GetArrivals()),
		})
	}
	return wants
}

func (s *Control) broadcastLeaving(effect control.BroadcastLeaving) {
	notice := &peerpb.LeavingNotice{From: string(s.dependencies.Self.Name)}
	for _, name := range effect.Backends {
		notice.Backends = append(notice.Backends, string(name))
	}
	for _, member := range effect.To {
		go func() {
			ctx, cancel := s.withTimeout(peerCallTimeout)
			defer cancel()
			// If a notice is lost, the route table repairs it: it carries the mark too.
			_, _ = s.dependencies.Peers.To(member.Addresses.Peer).Control.Leaving(ctx, notice)
		}()
	}
}

func (s *Control) handOver(effect control.HandOver) {
	ctx, cancel := s.withTimeout(peerCallTimeout)
	defer cancel()
	_, err := s.dependencies.Peers.To(effect.To.Addresses.Peer).Control.HandOver(ctx, &peerpb.HandOverRequest{
		From:  string(s.dependencies.Self.Name),
		Fence: uint64(effect.Fence),
	})
	if err != nil {
		s.logFailure("hand_over_failed", err)
	}
}

// ControlService serves the peers' calls to the control core. It is a type of its own
// because fleet.DemandReporter and peerpb.Control both have a method Report.
type ControlService struct{ *Control }

var _ peerpb.Control = ControlService{}

// Report implements peerpb.Control.
func (s ControlService) Report(ctx context.Context, report *peerpb.WantReport) (*peerpb.WantReportResponse, error) {
	from := fleet.NodeName(report.GetFrom())
	message := control.WantsReported{From: from, Wants: decodeWants(report.GetWants()), Forwarded: report.GetForwarded()}
	return queryActor(s.Control, ctx, func(shell *Control) *peerpb.WantReportResponse {
		refusals := shell.step(message)
		leading, _ := shell.core.Leading()
		response := &peerpb.WantReportResponse{Leader: leading, LeaderName: string(shell.core.Candidate())}
		for _, want := range message.Wants {
			response.Refusals = append(response.Refusals, encodeRefusals(refusals[want.Node], want)...)
		}
		return response
	})
}

func encodeRefusals(refusals []fleet.LoadRefusal, want fleet.Want) []*peerpb.Refusal {
	var encoded []*peerpb.Refusal
	for _, refusal := range refusals {
		if refusal.Model != want.Model || refusal.Regions != want.Regions {
			continue
		}
		encoded = append(encoded, &peerpb.Refusal{
			Model:            refusal.Model.Model,
			Version:          refusal.Model.Version,
			Regions:          string(refusal.Regions),
			Reason:           refusal.Reason,
			RetryAfterMillis: refusal.RetryAfter.Milliseconds(),
		})
	}
	return encoded
}

// Publish implements peerpb.Control.
func (s ControlService) Publish(_ context.Context, encoded *peerpb.RouteTableUpdate) (*peerpb.RouteTableAck, error) {
	update, err := decodeUpdate(encoded)
	if err != nil {
		return nil, twirp.InvalidArgumentError("table", err.Error())
	}
	s.send(control.TableReceived{From: fleet.NodeName(encoded.GetFrom()), Update: update})
	return &peerpb.RouteTableAck{Fence: encoded.GetFence(), Sequence: encoded.GetSequence()}, nil
}

// Tables implements peerpb.Control.
func (s ControlService) Tables(ctx context.Context, request *peerpb.TablesRequest) (*peerpb.TablesResponse, error) {
	var held []control.TableStamp
	for _, stamp := range request.GetHeld() {
		held = append(held, control.TableStamp{
			Zone: fleet.Zone(stamp.GetZone()), Fence: fleet.Fence(stamp.GetFence()), Sequence: stamp.GetSequence(),
		})
	}
	tables, err := queryActor(s.Control, ctx, func(shell *Control) map[fleet.Zone]fleet.RouteTable {
		return shell.core.TablesNewerThan(held)
	})
	if err != nil {
		return nil, err
	}
	response := &peerpb.TablesResponse{}
	for _, table := range tables {
		encoded, err := encodeUpdate(control.TableUpdate{Table: table})
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		response.Tables = append(response.Tables, encoded)
	}
	slices.SortFunc(response.Tables, func(a, b *peerpb.RouteTableUpdate) int {
		return strings.Compare(a.GetZone(), b.GetZone())
	})
	return response, nil
}

// Allotments implements peerpb.Control.
func (s ControlService) Allotments(ctx context.Context, _ *peerpb.AllotmentsRequest) (*peerpb.AllotmentsResponse, error) {
	record, err := queryActor(s.Control, ctx, func(shell *Control) control.VersionedRecord { return shell.authoritativeRecord() })
	if err != nil || record.Record.Generation == 0 {
		return &peerpb.AllotmentsResponse{}, err
	}
	body, err := json.Marshal(record.Record)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.AllotmentsResponse{Version: record.StoreVersion, Record: body}, nil
}

// Leaving implements peerpb.Control.
func (s ControlService) Leaving(_ context.Context, notice *peerpb.LeavingNotice) (*peerpb.LeavingAck, error) {
	message := control.LeavingNoticeReceived{From: fleet.NodeName(notice.GetFrom())}
	for _, name := range notice.GetBackends() {
		message.Backends = append(message.Backends, fleet.BackendName(name))
	}
	s.send(message)
	return &peerpb.LeavingAck{}, nil
}

// HandOver implements peerpb.Control.
func (s ControlService) HandOver(_ context.Context, request *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	s.send(control.HandOverRequested{
		From:  fleet.NodeName(request.GetFrom()),
		Fence: fleet.Fence(request.GetFence()),
	})
	return &peerpb.HandOverResponse{Accepted: true}, nil
}
