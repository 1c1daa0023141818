package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// Timeouts of the shell's calls.
const (
	engineCallTimeout = 900 * time.Millisecond
	peerCallTimeout   = time.Second
	storeCallTimeout  = time.Second
	storeWriteTimeout = 3 * time.Second
)

// perform starts the work that an effect asks for and does not wait for it.
func (s *Control) perform(effect control.Effect) {
	switch effect := effect.(type) {
	case control.ReadEngine:
		go s.readEngine(effect)
	case control.SendClaim:
		go s.sendClaim(effect)
	case control.SendOrder:
		go s.sendOrder(effect)
	case control.LearnRecord:
		go s.learnRecord(effect)
	case control.WriteRecord:
		go s.writeRecord(effect)
	case control.PublishTable:
		s.publishTable(effect)
	case control.PullTables:
		go s.pullTables(effect)
	case control.ForwardWants:
		go s.forwardWants(effect)
	case control.RefuseWants:
		s.notifyRefusals(effect.Refusals)
	case control.BroadcastLeaving:
		s.broadcastLeaving(effect)
	case control.HandOver:
		go s.handOver(effect)
	case control.TablesChanged:
		s.dependencies.Views.RouteTables.Set(effect.Tables)
	case control.LoadFinished:
		s.logLoad(effect)
	case control.EvacuationChanged:
		s.dependencies.Logger.Info().Str("evacuated_zone", effect.Zone).Str("change", effect.Kind.String()).
			Int64("version", effect.Position.Revision).Msg("zone_evacuation_changed")
	case control.LeadershipChanged:
		s.metrics.leadershipChanged(effect.Leading)
		s.dependencies.Logger.Info().Bool("leading", effect.Leading).
			Str("fence", effect.Fence.String()).Str("reason", effect.Reason).Msg("leadership_changed")
	}
}

func (s *Control) withTimeout(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.lifetime, limit)
}

func (s *Control) readEngine(effect control.ReadEngine) {
	ctx, cancel := s.withTimeout(engineCallTimeout)
	defer cancel()
	state, err := s.dependencies.Engines.State(ctx, effect.Address)
	s.send(control.StateRead{StateRead: leadership.StateRead{
		ID:     effect.ID,
		Engine: effect.Engine,
		State:  state,
		Failed: err != nil,
	}})
}

func (s *Control) sendClaim(effect control.SendClaim) {
	ctx, cancel := s.withTimeout(engineCallTimeout)
	defer cancel()
	state, err := s.dependencies.Engines.Claim(ctx, effect.Address, backend.Claim{
		Fence:       effect.Fence,
		Incarnation: effect.Incarnation,
		Holder:      s.dependencies.Self.Name,
	})
	answer := leadership.ClaimAnswered{ID: effect.ID, Engine: effect.Engine, State: state}
	var refused *backend.FenceRefusedError
	switch {
	case err == nil:
		answer.Result = leadership.ClaimGranted
	case errors.As(err, &refused):
		answer.Result = leadership.ClaimRefused
		answer.Fence = refused.Refusal.Fence
	}
	s.metrics.claimAnswered(answer.Result)
	s.send(control.ClaimAnswered{ClaimAnswered: answer})
}

func (s *Control) sendOrder(effect control.SendOrder) {
	ctx, cancel := s.withTimeout(engineCallTimeout)
	defer cancel()
	_, err := s.dependencies.Engines.Order(ctx, effect.Address, effect.Order)
	answer := control.OrderAnswered{Engine: effect.Engine, OrderID: effect.Order.ID}
	var fenceRefused *backend.FenceRefusedError
	var orderRefused *backend.OrderRefusedError
	switch {
	case err == nil:
		answer.Result = placement.OrderAccepted
	case errors.As(err, &fenceRefused):
		answer.FenceStale = true
		answer.Fence = fenceRefused.Refusal.Fence
	case errors.As(err, &orderRefused):
		answer.Result = placement.OrderRefused
		answer.Reason = orderRefused.Refusal.Reason
	}
	s.logOrder(effect, err)
	s.metrics.orderAnswered(effect.Order.Action, answer.Result, answer.FenceStale)
	s.send(answer)
}

// logOrder logs one line for each order: information if it was accepted, a warning if it was
// refused or not answered.
func (s *Control) logOrder(effect control.SendOrder, err error) {
	entry := s.dependencies.Logger.Info()
	if err != nil {
		entry = s.dependencies.Logger.Warn().Err(err)
	}
	entry = entry.Str("engine", string(effect.Engine)).Str("order", effect.Order.ID).
		Str("action", string(effect.Order.Action)).Str("model", effect.Order.Model.String())
	if effect.Order.Adapter != "" {
		entry = entry.Str("adapter", string(effect.Order.Adapter))
	}
	entry.Bool("accepted", err == nil).Msg("engine_ordered")
}

func decodeRecord(object objectstore.Object) (control.VersionedRecord, error) {
	var record allotment.Record
	if err := json.Unmarshal(object.Spec, &record); err != nil {
		return control.VersionedRecord{}, fmt.Errorf("record of allotments at version %d: %w", object.Version, err)
	}
	return control.VersionedRecord{Record: record, StoreVersion: object.Version}, nil
}

// errStoreSkipped stands in for the store's answer if only the members are to be asked.
var errStoreSkipped = errors.New("store not queried")

// learnRecord reads the record from the store or, if that fails or is not wanted, from the
// members.
func (s *Control) learnRecord(effect control.LearnRecord) {
	var answer control.RecordLearned
	err := errStoreSkipped
	if !effect.MembersOnly {
		answer, err = s.readStore()
	}
	if err != nil {
		answer, err = s.readMajority(effect)
	}
	if err != nil {
		s.logFailure("record_not_learned", err)
	}
	answer.ID = effect.ID
	answer.Failed = err != nil
	s.send(answer)
}

func (s *Control) readStore() (control.RecordLearned, error) {
	ctx, cancel := s.withTimeout(storeCallTimeout)
	defer cancel()
	object, found, err := s.dependencies.Store.Read(ctx)
	if err != nil || !found {
		return control.RecordLearned{FromStore: err == nil}, err
	}
	record, err := decodeRecord(object)
	return control.RecordLearned{VersionedRecord: record, FromStore: true}, err
}

// readMajority returns the newest record among those that a majority of the zone's members,
// this node included, holds authoritatively.
func (s *Control) readMajority(effect control.LearnRecord) (control.RecordLearned, error) {
	answers := make(chan control.VersionedRecord, len(effect.Members)+1)
	go func() { answers <- s.ownAuthoritativeRecord() }()
	for _, member := range effect.Members {
		go func() { answers <- s.fetchRecord(member) }()
	}
	var newest control.VersionedRecord
	authoritative := 0
	for range len(effect.Members) + 1 {
		answer := <-answers
		if answer.Record.Generation == 0 || answer.Record.Generation < effect.MinGeneration {
			continue
		}
		authoritative++
		if answer.Record.Generation > newest.Record.Generation {
			newest = answer
		}
	}
	if authoritative < effect.Majority {
		return control.RecordLearned{}, fmt.Errorf("%d of the %d members required hold an authoritative record", authoritative, effect.Majority)
	}
	return control.RecordLearned{VersionedRecord: newest}, nil
}

func (s *Control) ownAuthoritativeRecord() control.VersionedRecord {
	record, _ := queryActor(s, s.lifetime, func(shell *Control) control.VersionedRecord { return shell.authoritativeRecord() })
	return record
}

// authoritativeRecord returns the core's record, or none if this process has learned it only
// from a source that is not authoritative.
func (s *Control) authoritativeRecord() control.VersionedRecord {
	record, isAuthoritative := s.core.AuthoritativeRecord()
	if !isAuthoritative {
		return control.VersionedRecord{}
	}
	return record
}

func (s *Control) fetchRecord(member fleet.Member) control.VersionedRecord {
	ctx, cancel := s.withTimeout(peerCallTimeout)
	defer cancel()
	response, err := s.dependencies.Peers.To(member.Addresses.Peer).Control.Allotments(ctx,
		&peerpb.AllotmentsRequest{From: string(s.dependencies.Self.Name)})
	if err != nil || len(response.GetRecord()) == 0 {
		return control.VersionedRecord{}
	}
	record, err := decodeRecord(objectstore.Object{Version: response.GetVersion(), Spec: response.GetRecord()})
	if err != nil {
		s.logFailure("record_unreadable", err)
	}
	return record
}

// writeRecord writes by compare-and-set.
func (s *Control) writeRecord(effect control.WriteRecord) {
	answer := control.RecordWritten{ID: effect.ID}
	standing, conflict, err := s.putRecord(effect)
	if err == nil {
		answer.Current, err = decodeRecord(standing)
	}
	switch {
	case err != nil:
		s.logFailure("record_not_written", err)
	case conflict:
		answer.Result = control.WriteConflict
	default:
		answer.Result = control.WriteDone
	}
	s.send(answer)
}

func (s *Control) putRecord(effect control.WriteRecord) (objectstore.Object, bool, error) {
	body, err := json.Marshal(effect.Record)
	if err != nil {
		return objectstore.Object{}, false, err
	}
	ctx, cancel := s.withTimeout(storeWriteTimeout)
	defer cancel()
	self := s.dependencies.Self
	return s.dependencies.Store.Write(ctx, objectstore.Object{
		Kind:      objectstore.KindAllotments,
		Name:      allotment.ObjectName,
		ChangeID:  fmt.Sprintf("%s-%x-%d", self.Name, self.BootID, effect.ID),
		ChangedBy: string(self.Name),
		Spec:      body,
	}, effect.Expected)
}
