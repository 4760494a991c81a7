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

// Status is the JSON output of status. A section that could not be read is absent,
// and Errors contains the reason.
type Status struct {
	Store  *StoreStatus `json:"store,omitempty"`
	Node   *NodeStatus  `json:"node,omitempty"`
	Errors []string     `json:"errors,omitempty"`
}

// StoreStatus is the state of moves and data centres in the store.
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

// MoveProgress is the progress of a move: its outcome if it has one, or else one of
// the values below.
type MoveProgress string

// Progress of a move without an outcome.
const (
	// MoveRequested means that no node has started the move yet.
	MoveRequested MoveProgress = "requested"
	MoveUnderWay  MoveProgress = "under_way"
)

// MoveRow is the latest move of a service that a node has started, or a move that
// is requested and not started yet.
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

func (c *cli) newStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show moves, data centres and backend servers",
		Long:  "Show what the store holds of moves and data centres, and what a node sees of data centres and backend servers.",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if c.storeURL == "" && c.nodeAddress == "" {
				return newUsageError("--store", "", "a store, a --node or both")
			}
			status, err := c.readStatus(command.Context())
			if printErr := c.print(status, status.print); printErr != nil {
				return printErr
			}
			return err
		},
	}
}

// readStatus reads the store and the node independently, so that the node's view is
// available while the store is down. It returns the first error.
func (c *cli) readStatus(ctx context.Context) (Status, error) {
	var status Status
	var firstErr error
	addError := func(err error) {
		status.Errors = append(status.Errors, err.Error())
		if firstErr == nil {
			firstErr = err
		}
	}
	if c.storeURL != "" {
		section, err := c.readStoreStatus(ctx)
		if err != nil {
			addError(err)
		} else {
			status.Store = &section
		}
	}
	if c.nodeAddress != "" {
		section, err := c.readNodeStatus(ctx)
		if err != nil {
			addError(err)
		} else {
			status.Node = &section
		}
	}
	return status, firstErr
}

func (c *cli) readStoreStatus(ctx context.Context) (StoreStatus, error) {
	status := StoreStatus{DataCentres: []DataCentreRow{}, Moves: []MoveRow{}}
	store, err := c.store()
	if err != nil {
		return status, err
	}
	dataCentres, err := readEntries(ctx, store, []bulrushchute.Kind{bulrushchute.KindDataCentres}, nil)
	if err != nil {
		return status, err
	}
	for _, ce := range dataCentres {
		status.DataCentres = append(status.DataCentres, ce.dataCentreRow())
	}
	services, err := readEntries(ctx, store, []bulrushchute.Kind{bulrushchute.KindServices}, nil)
	if err != nil {
		return status, err
	}
	states, _, err := store.List(ctx, bulrushchute.KindMoves)
	if err != nil {
		return status, err
	}
	status.Moves, err = newMoveRows(services, states)
	return status, err
}

func (ce catalogueEntry) dataCentreRow() DataCentreRow {
	change := ce.lastChange()
	row := DataCentreRow{DataCentre: ce.name, Version: ce.version, By: change.By, AtMs: change.AtMs}
	if ce.parseErr != nil {
		row.Error = ce.parseErr.Error()
		return row
	}
	row.Region, row.State = ce.dataCentre.Region, ce.dataCentre.State
	return row
}

// newMoveRows returns the moves with a stored state and those that are requested
// but not started.
func newMoveRows(services []catalogueEntry, states []bulrushchute.Object) ([]MoveRow, error) {
	rows := make([]MoveRow, 0, len(states))
	storedGenerations := make(map[bulrushchute.Service]uint64)
	for _, object := range states {
		state, err := bulrushmove.ParseState(object)
		if err != nil {
			return nil, errors.Wrapf(err, "moves/%s", object.Name)
		}
		storedGenerations[state.Service] = state.Generation
		rows = append(rows, newMoveRow(state))
	}
	for _, ce := range services {
		if ce.service == nil || ce.service.Move == nil || storedGenerations[ce.service.Service] >= ce.service.Move.Generation {
			continue
		}
		move := ce.service.Move
		rows = append(rows, MoveRow{
			Service: ce.service.Service, Generation: move.Generation, FromVersion: move.FromVersion,
			ToVersion: move.ToVersion, Progress: MoveRequested, CompleteByMs: move.CompleteByMs,
		})
	}
	return rows, nil
}

func newMoveRow(state bulrushmove.State) MoveRow {
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
		writeLine(w, fmt.Sprintf("%s\t%s\t%s\t%d\t%s\t%s", row.DataCentre, orDash(string(row.Region)), state, row.Version, orDash(row.By), formatTime(row.AtMs)))
	}
	writeLine(w, "")
	writeLine(w, "STORE: MOVE\tFROM\tTO\tSHARE\tPROGRESS\tCOMPLETE BY\tREASON")
	rows := slices.Clone(ss.Moves)
	slices.SortFunc(rows, func(a, b MoveRow) int { return cmp.Compare(a.Service, b.Service) })
	for _, row := range rows {
		share := strconv.FormatFloat(row.SharePercent, 'f', -1, 64) + "%"
		writeLine(w, fmt.Sprintf("%s-%d\t%s\t%s\t%s\t%s\t%s\t%s", row.Service, row.Generation, row.FromVersion, row.ToVersion,
			share, row.Progress, formatTime(row.CompleteByMs), orDash(row.Reason)))
	}
	writeLine(w, "")
}
