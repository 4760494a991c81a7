package bulrushcommand

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

// Status is the JSON output of status. A part that could not be read is absent
// and has an error.
type Status struct {
	Store  *StoreStatus `json:"store,omitempty"`
	Node   *NodeStatus  `json:"node,omitempty"`
	Errors []string     `json:"errors,omitempty"`
}

// StoreStatus is what the store holds of moves and data centres.
type StoreStatus struct {
	DataCentres []DataCentreRow `json:"data_centres"`
	Moves       []MoveRow       `json:"moves"`
}

// DataCentreRow is the stored entry of a data centre.
type DataCentreRow struct {
	DataCentre string                           `json:"data_centre"`
	Region     bulrushchute.Region              `json:"region"`
	State      bulrushcatalogue.DataCentreState `json:"state"`
	Version    uint64                           `json:"version"`
	By         string                           `json:"by,omitempty"`
	AtMs       bulrushchute.Millis              `json:"at_ms,omitempty"`
	Error      string                           `json:"error,omitempty"`
}

// MoveProgress is how far a move is.
type MoveProgress string

// Progress of a move that has no outcome. One that has ended shows its outcome.
const (
	// MoveRequested is a move that no node has begun.
	MoveRequested MoveProgress = "requested"
	MoveUnderWay  MoveProgress = "under_way"
)

// MoveRow is the latest move of a service.
type MoveRow struct {
	Service      bulrushchute.Service `json:"service"`
	Generation   uint64               `json:"generation"`
	FromVersion  bulrushchute.Version `json:"from_version"`
	ToVersion    bulrushchute.Version `json:"to_version"`
	SharePercent float64              `json:"share_percent"`
	Progress     MoveProgress         `json:"progress"`
	Reason       string               `json:"reason,omitempty"`
	CompleteByMs bulrushchute.Millis  `json:"complete_by_ms"`
	DecidedAtMs  bulrushchute.Millis  `json:"decided_at_ms,omitempty"`
}

func (s *session) newStatus() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show moves, data centres and backend servers",
		Long:  "Show what the store holds of moves and data centres, and what a node sees of data centres and backend servers.",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if s.storeURL == "" && s.node == "" {
				return usage("--store", "", "a store, a --node or both")
			}
			status, err := s.readStatus(command.Context())
			if printed := s.print(status, status.print); printed != nil {
				return printed
			}
			return err
		},
	}
}

// readStatus reads what it can, so that a node's view is shown when the store
// is down. The error is the first one.
func (s *session) readStatus(ctx context.Context) (Status, error) {
	var status Status
	var first error
	note := func(err error) {
		status.Errors = append(status.Errors, err.Error())
		if first == nil {
			first = err
		}
	}
	if s.storeURL != "" {
		part, err := s.readStoreStatus(ctx)
		if err != nil {
			note(err)
		} else {
			status.Store = &part
		}
	}
	if s.node != "" {
		part, err := s.readNodeStatus(ctx)
		if err != nil {
			note(err)
		} else {
			status.Node = &part
		}
	}
	return status, first
}

func (s *session) readStoreStatus(ctx context.Context) (StoreStatus, error) {
	status := StoreStatus{DataCentres: []DataCentreRow{}, Moves: []MoveRow{}}
	store, err := s.store()
	if err != nil {
		return status, err
	}
	dataCentres, err := readAll(ctx, store, []bulrushchute.Kind{bulrushchute.KindDataCentres}, nil)
	if err != nil {
		return status, err
	}
	for _, d := range dataCentres {
		status.DataCentres = append(status.DataCentres, d.dataCentreRow())
	}
	services, err := readAll(ctx, store, []bulrushchute.Kind{bulrushchute.KindServices}, nil)
	if err != nil {
		return status, err
	}
	states, _, err := store.List(ctx, bulrushchute.KindMoves)
	if err != nil {
		return status, err
	}
	status.Moves, err = moveRows(services, states)
	return status, err
}

func (d document) dataCentreRow() DataCentreRow {
	change := d.lastChange()
	row := DataCentreRow{DataCentre: d.name, Version: d.version, By: change.By, AtMs: change.AtMs}
	if d.invalid != nil {
		row.Error = d.invalid.Error()
		return row
	}
	row.Region, row.State = d.dataCentre.Region, d.dataCentre.State
	return row
}

// moveRows lists the stored moves and those that are only requested so far.
func moveRows(services []document, states []bulrushchute.Object) ([]MoveRow, error) {
	rows := make([]MoveRow, 0, len(states))
	known := make(map[bulrushchute.Service]uint64)
	for _, object := range states {
		state, err := bulrushmove.ParseState(object)
		if err != nil {
			return nil, errors.Wrapf(err, "moves/%s", object.Name)
		}
		known[state.Service] = state.Generation
		rows = append(rows, rowOfState(state))
	}
	for _, d := range services {
		if d.service == nil || d.service.Move == nil || known[d.service.Service] >= d.service.Move.Generation {
			continue
		}
		move := d.service.Move
		rows = append(rows, MoveRow{
			Service: d.service.Service, Generation: move.Generation, FromVersion: move.FromVersion,
			ToVersion: move.ToVersion, Progress: MoveRequested, CompleteByMs: move.CompleteByMs,
		})
	}
	return rows, nil
}

func rowOfState(state bulrushmove.State) MoveRow {
	const basisPointsPerPercent = 100
	row := MoveRow{
		Service: state.Service, Generation: state.Generation, FromVersion: state.FromVersion, ToVersion: state.ToVersion,
		SharePercent: float64(state.Share()) / basisPointsPerPercent, Progress: MoveProgress(state.Outcome),
		Reason: state.Reason, CompleteByMs: state.CompleteByMs, DecidedAtMs: state.DecidedAtMs,
	}
	if state.Outcome == bulrushmove.OutcomeNone {
		row.Progress = MoveUnderWay
	}
	return row
}

func (st Status) print(w *tabwriter.Writer) {
	if st.Store != nil {
		st.Store.print(w)
	}
	if st.Node != nil {
		st.Node.print(w)
	}
}

func (ss StoreStatus) print(w *tabwriter.Writer) {
	writeLine(w, "STORE: DATA CENTRE\tREGION\tSTATE\tVERSION\tBY\tAT")
	for _, row := range ss.DataCentres {
		state := string(row.State)
		if row.Error != "" {
			state = "invalid: " + row.Error
		}
		writeLine(w, fmt.Sprintf("%s\t%s\t%s\t%d\t%s\t%s", row.DataCentre, orDash(string(row.Region)), state, row.Version, orDash(row.By), timeText(row.AtMs)))
	}
	writeLine(w, "")
	writeLine(w, "STORE: MOVE\tFROM\tTO\tSHARE\tPROGRESS\tCOMPLETE BY\tREASON")
	rows := slices.Clone(ss.Moves)
	slices.SortFunc(rows, func(a, b MoveRow) int { return cmp.Compare(a.Service, b.Service) })
	for _, row := range rows {
		share := strconv.FormatFloat(row.SharePercent, 'f', -1, 64) + "%"
		writeLine(w, fmt.Sprintf("%s-%d\t%s\t%s\t%s\t%s\t%s\t%s", row.Service, row.Generation, row.FromVersion, row.ToVersion,
			share, row.Progress, timeText(row.CompleteByMs), orDash(row.Reason)))
	}
	writeLine(w, "")
}
