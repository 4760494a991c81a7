package bulrushmove

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Outcome is how a move ended. Every move ends as completed, rolled back or
// cancelled; a completed one may later be reverted.
type Outcome string

// Outcomes of a move. They are part of object names, so they have hyphens.
const (
	// OutcomeNone is that of a move that is under way.
	OutcomeNone Outcome = ""
	// OutcomeCompleted means that the new version gets all requests.
	OutcomeCompleted Outcome = "completed"
	// OutcomeRolledBack means that the old version gets all requests, because
	// the new one was bad or could not be raised to 100% in time.
	OutcomeRolledBack Outcome = "rolled-back"
	// OutcomeCancelled means that operators removed or replaced the move.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeReverted means that the new version turned bad after the move was
	// completed and before the old version was gone.
	OutcomeReverted Outcome = "reverted"
)

// State is the stored state of a service's latest move (kind moves, named
// after the service).
type State struct {
	Service      bulrushchute.Service `json:"service"`
	Generation   uint64               `json:"generation"`
	FromVersion  bulrushchute.Version `json:"from_version"`
	ToVersion    bulrushchute.Version `json:"to_version"`
	CompleteByMs bulrushchute.Millis  `json:"complete_by_ms"`
	// OrderedAtMs is when the first holder learned of a move that has to end
	// within some time, 0 for other moves.
	OrderedAtMs bulrushchute.Millis `json:"ordered_at_ms,omitempty"`
	// Epoch grows with every raise and every new holder, over all generations.
	Epoch uint64 `json:"epoch"`
	// Stage is an index of the share steps; 0 is a share of 0.
	Stage        int                 `json:"stage"`
	StartedAtMs  bulrushchute.Millis `json:"started_at_ms"`
	StageSinceMs bulrushchute.Millis `json:"stage_since_ms"`
	Outcome      Outcome             `json:"outcome,omitempty"`
	Reason       string              `json:"reason,omitempty"`
	DecidedAtMs  bulrushchute.Millis `json:"decided_at_ms,omitempty"`
	// Announced is set once the outcome's event object exists.
	Announced bool `json:"announced,omitempty"`
	// Writer identifies the write, so that a lost answer can be settled.
	Writer    string              `json:"writer"`
	Baselines map[string]Baseline `json:"baselines,omitempty"`
}

// Share returns the state's share in basis points.
func (s State) Share() int {
	return s.plan()[s.Stage].share
}

// ParseState reads a stored state.
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

// ShareRecord returns the share as it is spread, by the holder and by the
// readers that watch the store.
func (s State) ShareRecord() ShareRecord {
	return ShareRecord{
		Service:    s.Service,
		Generation: s.Generation,
		Epoch:      s.Epoch,
		Share:      s.Share(),
		Braked:     s.Outcome == OutcomeRolledBack || s.Outcome == OutcomeReverted,
		Reason:     s.Reason,
	}
}

// An ordered move ends some time before the order's limit, because the first
// holder learns of it late and the store answers late.
const (
	orderMargin     = 1500 * bulrushchute.Millisecond
	orderMarginPart = 6
)

// withMove returns the state at the start of a move, in the next epoch.
func (s State) withMove(service bulrushchute.Service, move bulrushcatalogue.Move, now bulrushchute.Millis) State {
	completeBy, ordered := move.CompleteByMs, bulrushchute.Millis(0)
	if completeBy == 0 {
		completeBy, ordered = now+move.WithinMs-min(orderMargin, move.WithinMs/orderMarginPart), now
	}
	return State{
		OrderedAtMs:  ordered,
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

// withStage returns the state at a stage. A raise begins a new epoch.
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

// withOutcome returns the state with a decided outcome that is to be announced.
func (s State) withOutcome(outcome Outcome, reason string, now bulrushchute.Millis) State {
	if outcome != OutcomeCompleted {
		s.Stage = 0
	}
	s.Outcome = outcome
	s.Reason = reason
	s.DecidedAtMs = now
	s.Announced = false
	if !judged(s) {
		s.Baselines = nil
	}
	return s
}

// Event is the announcement of an outcome (kind events).
type Event struct {
	Service     bulrushchute.Service `json:"service"`
	Generation  uint64               `json:"generation"`
	Outcome     Outcome              `json:"outcome"`
	FromVersion bulrushchute.Version `json:"from_version"`
	ToVersion   bulrushchute.Version `json:"to_version"`
	Reason      string               `json:"reason"`
	AtMs        bulrushchute.Millis  `json:"at_ms"`
}

// eventObject returns the announcement of the state's outcome. Its name is the
// same for every writer, so the store keeps it from being made twice.
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
		panic(errors.Wrap(err, "encode move state"))
	}
	return encoded
}
