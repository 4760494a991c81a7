package bulrushmove

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Outcome is the result of a move. Every move ends as completed, rolled back or
// cancelled; a completed move may later be reverted.
type Outcome string

// Outcomes of a move. They contain hyphens because they are part of object names;
// a bulrushcatalogue.MoveOutcome is spelled differently.
const (
	// OutcomeNone means that the move is in progress.
	OutcomeNone Outcome = ""
	// OutcomeCompleted means that the new version gets all requests.
	OutcomeCompleted Outcome = "completed"
	// OutcomeRolledBack means that the old version gets all requests, because the
	// new version was bad or its share could not be raised to 100% in time.
	OutcomeRolledBack Outcome = "rolled-back"
	// OutcomeCancelled means that operators removed or replaced the move.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeReverted means that the new version turned bad after the move had
	// completed and before the old version was gone.
	OutcomeReverted Outcome = "reverted"
)

// State is the stored state of a service's latest move, an object of the kind moves
// named after the service.
type State struct {
	Service      bulrushchute.Service `json:"service"`
	Generation   uint64               `json:"generation"`
	FromVersion  bulrushchute.Version `json:"from_version"`
	ToVersion    bulrushchute.Version `json:"to_version"`
	CompleteByMs bulrushchute.Millis  `json:"complete_by_ms"`
	// OrderedAtMs is the time at which the node of the first holder learned of a move
	// with a time limit (an ordered move), 0 for a move with a fixed deadline.
	OrderedAtMs bulrushchute.Millis `json:"ordered_at_ms,omitempty"`
	// Epoch increases with every raise of the share, every new holder and every
	// new generation. It is never reset.
	Epoch uint64 `json:"epoch"`
	// Stage is an index into the stages of the move; stage 0 has a share of 0.
	Stage        int                 `json:"stage"`
	StartedAtMs  bulrushchute.Millis `json:"started_at_ms"`
	StageSinceMs bulrushchute.Millis `json:"stage_since_ms"`
	Outcome      Outcome             `json:"outcome,omitempty"`
	Reason       string              `json:"reason,omitempty"`
	DecidedAtMs  bulrushchute.Millis `json:"decided_at_ms,omitempty"`
	// Announced is set once the event object of the outcome exists.
	Announced bool `json:"announced,omitempty"`
	// Writer identifies the write, so that its effect can be determined if the
	// response was lost.
	Writer    string              `json:"writer"`
	Baselines map[string]Baseline `json:"baselines,omitempty"`
	// Requests is the number of the service's requests since the order that had been
	// reported when the state was written.
	Requests float64 `json:"requests,omitempty"`
	// Grants limit the requests of an ordered move's new version below FullShare.
	Grants []Grant `json:"grants,omitempty"`
}

// Share returns the share of the current stage in basis points.
func (s State) Share() int {
	return s.stages()[s.Stage].share
}

// ParseState decodes and validates a stored state.
func ParseState(object bulrushchute.Object) (State, error) {
	var state State
	if err := json.Unmarshal(object.Value, &state); err != nil {
		return State{}, errors.Wrapf(err, "state of move %s", object.Name)
	}
	if state.Stage < 0 || state.Stage > state.lastStage() {
		return State{}, &bulrushchute.FieldError{
			Field: "stage", Value: fmt.Sprint(state.Stage), Allowed: fmt.Sprintf("0 to %d", state.lastStage()),
		}
	}
	return state, nil
}

// ShareRecord returns the share record of the state, which the holder and the
// readers spread.
func (s State) ShareRecord() ShareRecord {
	return ShareRecord{
		Service:    s.Service,
		Generation: s.Generation,
		Epoch:      s.Epoch,
		Share:      s.Share(),
		Braked:     s.Outcome == OutcomeRolledBack || s.Outcome == OutcomeReverted,
		Reason:     s.Reason,
		Limited:    s.limited(),
		Grants:     s.Grants,
	}
}

// The deadline of an ordered move lies before its time limit, because the first
// holder learns of the order with a delay and the store responds with a delay. The
// margin is orderMargin, but at most 1/orderMarginDivisor of the limit.
const (
	orderMargin        = 1500 * bulrushchute.Millisecond
	orderMarginDivisor = 6
)

// withMove returns the initial state of a move, in the next epoch. The time limit of
// an ordered move counts from orderedAt.
func (s State) withMove(service bulrushchute.Service, move bulrushcatalogue.Move, now, orderedAt bulrushchute.Millis) State {
	completeBy := move.CompleteByMs
	if completeBy == 0 {
		completeBy = orderedAt + move.WithinMs - min(orderMargin, move.WithinMs/orderMarginDivisor)
	} else {
		orderedAt = 0
	}
	return State{
		OrderedAtMs:  orderedAt,
		Service:      service,
		Generation:   move.Generation,
		FromVersion:  move.FromVersion,
		ToVersion:    move.ToVersion,
		CompleteByMs: completeBy,
		Epoch:        s.Epoch + 1,
		StartedAtMs:  now,
		StageSinceMs: now,
	}
}

// withStage returns the state at the beginning of a stage. A raise begins a new
// epoch.
func (s State) withStage(stage int, now bulrushchute.Millis) State {
	if stage > s.Stage {
		s.Epoch++
	}
	if s.Stage == 0 && stage > 0 {
		s.StartedAtMs = now
	}
	s.Stage = stage
	s.StageSinceMs = now
	return s
}

// withOutcome returns the state with an outcome that is not announced yet.
func (s State) withOutcome(outcome Outcome, reason string, now bulrushchute.Millis) State {
	if outcome != OutcomeCompleted {
		s.Stage = 0
	}
	s.Outcome = outcome
	s.Reason = reason
	s.DecidedAtMs = now
	s.Announced = false
	if !needsJudging(s) {
		s.Baselines, s.Grants = nil, nil
	}
	return s
}

// Event is the announcement of an outcome, an object of the kind events.
type Event struct {
	Service     bulrushchute.Service `json:"service"`
	Generation  uint64               `json:"generation"`
	Outcome     Outcome              `json:"outcome"`
	FromVersion bulrushchute.Version `json:"from_version"`
	ToVersion   bulrushchute.Version `json:"to_version"`
	Reason      string               `json:"reason"`
	AtMs        bulrushchute.Millis  `json:"at_ms"`
}

// OutcomeEvent returns the event object of an ordered move's outcome as the
// catalogue has it.
func OutcomeEvent(service bulrushchute.Service, move bulrushcatalogue.Move) bulrushchute.Object {
	outcome := OutcomeCompleted
	if move.Outcome == bulrushcatalogue.MoveRolledBack {
		outcome = OutcomeRolledBack
	}
	state := State{Service: service, Generation: move.Generation, ToVersion: move.ToVersion, Outcome: outcome}
	return state.eventObject()
}

// eventObject returns the event object of the state's outcome. Its name does not
// depend on the writer, so the store rejects a second one.
func (s State) eventObject() bulrushchute.Object {
	return bulrushchute.Object{
		Kind: bulrushchute.KindEvents,
		Name: fmt.Sprintf("%s-%d-%s", s.Service, s.Generation, s.Outcome),
		Value: encode(Event{
			Service:     s.Service,
			Generation:  s.Generation,
			Outcome:     s.Outcome,
			FromVersion: s.FromVersion,
			ToVersion:   s.ToVersion,
			Reason:      s.Reason,
			AtMs:        s.DecidedAtMs,
		}),
	}
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		// Strings, finite numbers and maps of them always have an encoding.
		panic(errors.Wrap(err, "encode move state or event"))
	}
	return encoded
}
