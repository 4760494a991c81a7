package bulrushcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// catalogueEntry is a service or data centre entry with its store version, which
// is 0 for an entry that is not stored. Both service and dataCentre are nil if no
// entry is stored, if the stored one is invalid, or if only the version of a base
// entry is known.
type catalogueEntry struct {
	kind       bulrushchute.Kind
	name       string
	version    uint64
	service    *bulrushcatalogue.ServiceEntry
	dataCentre *bulrushcatalogue.DataCentreEntry
	// parseErr is the reason why a stored entry is invalid.
	parseErr error
}

func newServiceEntry(entry bulrushcatalogue.ServiceEntry) catalogueEntry {
	return catalogueEntry{kind: bulrushchute.KindServices, name: string(entry.Service), service: &entry}
}

func newDataCentreEntry(entry bulrushcatalogue.DataCentreEntry) catalogueEntry {
	return catalogueEntry{kind: bulrushchute.KindDataCentres, name: string(entry.DataCentre), dataCentre: &entry}
}

// fileEntries returns the entries of a file in their order, services before data
// centres.
func fileEntries(file bulrushcatalogue.File) []catalogueEntry {
	var entries []catalogueEntry
	for _, entry := range file.Services {
		entries = append(entries, newServiceEntry(entry))
	}
	for _, entry := range file.DataCentres {
		entries = append(entries, newDataCentreEntry(entry))
	}
	return entries
}

// baseEntry returns the stored state on which an edited entry is based. It has
// only a version if the file does not include the base entry itself.
func baseEntry(base bulrushcatalogue.Base) catalogueEntry {
	ce := catalogueEntry{kind: base.Kind, name: base.Name, version: base.Version}
	if base.Service != nil {
		entry := base.Service.WithDefaults()
		ce.service = &entry
	}
	if base.DataCentre != nil {
		entry := base.DataCentre.WithDefaults()
		ce.dataCentre = &entry
	}
	return ce
}

func parseEntry(object bulrushchute.Object) catalogueEntry {
	ce := catalogueEntry{kind: object.Kind, name: object.Name, version: object.Version}
	if object.Kind == bulrushchute.KindServices {
		entry, err := bulrushcatalogue.ParseService(object.Value)
		if err == nil && string(entry.Service) != object.Name {
			err = &bulrushchute.FieldError{Field: "service", Value: string(entry.Service), Allowed: "the object's name, " + object.Name}
		}
		if ce.parseErr = err; err == nil {
			ce.service = &entry
		}
		return ce
	}
	entry, err := bulrushcatalogue.ParseDataCentre(object.Value)
	if err == nil && string(entry.DataCentre) != object.Name {
		err = &bulrushchute.FieldError{Field: "data_centre", Value: string(entry.DataCentre), Allowed: "the object's name, " + object.Name}
	}
	if ce.parseErr = err; err == nil {
		ce.dataCentre = &entry
	}
	return ce
}

// readEntry returns the stored entry, or one with version 0 if none is stored.
func readEntry(ctx context.Context, store bulrushchute.Store, kind bulrushchute.Kind, name string) (catalogueEntry, error) {
	object, err := store.Get(ctx, kind, name)
	var notFound *bulrushchute.NotFoundError
	if errors.As(err, &notFound) {
		return catalogueEntry{kind: kind, name: name}, nil
	}
	if err != nil {
		return catalogueEntry{}, err
	}
	return parseEntry(object), nil
}

func (ce catalogueEntry) path() string {
	return string(ce.kind) + "/" + ce.name
}

// hasValue reports whether a service or data centre entry is present.
func (ce catalogueEntry) hasValue() bool {
	return ce.service != nil || ce.dataCentre != nil
}

func (ce catalogueEntry) lastChange() bulrushcatalogue.LastChange {
	switch {
	case ce.service != nil && ce.service.LastChange != nil:
		return *ce.service.LastChange
	case ce.dataCentre != nil && ce.dataCentre.LastChange != nil:
		return *ce.dataCentre.LastChange
	default:
		return bulrushcatalogue.LastChange{}
	}
}

// diff returns the fields in which an updated entry of the same kind differs.
func (ce catalogueEntry) diff(updated catalogueEntry) bulrushcatalogue.FieldChanges {
	if ce.kind == bulrushchute.KindServices {
		return bulrushcatalogue.Diff(orZero(ce.service), orZero(updated.service))
	}
	return bulrushcatalogue.Diff(orZero(ce.dataCentre), orZero(updated.dataCentre))
}

func orZero[E any](entry *E) E {
	if entry == nil {
		var zero E
		return zero
	}
	return *entry
}

// checkChange rejects a change of this entry that the catalogue does not allow.
func (ce catalogueEntry) checkChange(updated catalogueEntry) error {
	if ce.service == nil || updated.service == nil {
		return nil
	}
	return bulrushcatalogue.CheckUpdate(*ce.service, *updated.service)
}

func (ce catalogueEntry) validate() error {
	if ce.service != nil {
		return ce.service.Validate()
	}
	return ce.dataCentre.Validate()
}

// encode returns the value to store, with its change field set.
func (ce catalogueEntry) encode(change bulrushcatalogue.LastChange) ([]byte, error) {
	var value any
	if ce.service != nil {
		entry := *ce.service
		entry.LastChange = &change
		value = entry
	} else {
		entry := *ce.dataCentre
		entry.LastChange = &change
		value = entry
	}
	data, err := json.Marshal(value)
	return data, errors.Wrapf(err, "encode %s", ce.path())
}

// raceError describes an edit that was based on this entry when another version
// was already stored.
func (ce catalogueEntry) raceError(current, edited catalogueEntry) *RaceError {
	change := current.lastChange()
	raceError := &RaceError{Kind: ce.kind, Name: ce.name, BaseVersion: ce.version, CurrentVersion: current.version, By: change.By, AtMs: change.AtMs}
	// Version 0 means that no entry was stored, which is a known base as well.
	raceError.BaseKnown = ce.hasValue() || (ce.version == 0 && ce.parseErr == nil)
	if raceError.BaseKnown {
		raceError.Changes = ce.diff(current)
	} else {
		raceError.Changes = current.diff(edited)
	}
	return raceError
}

// newLastChange identifies a new write by the operator.
func (c *cli) newLastChange() bulrushcatalogue.LastChange {
	return bulrushcatalogue.LastChange{Writer: uuid.NewString(), By: c.operator, AtMs: c.Clock.Now()}
}

// errUnchanged aborts an edit that would change nothing.
var errUnchanged = errors.New("nothing to change")

// putEntry stores an edited entry if the stored entry is still at the version of
// the base, and returns the new version.
func (c *cli) putEntry(ctx context.Context, store bulrushchute.Store, base, edited catalogueEntry) (uint64, error) {
	change := c.newLastChange()
	if base.version == 0 {
		return c.createEntry(ctx, store, base, edited, change)
	}
	stored, err := bulrushstore.UpdateObject(ctx, store, edited.kind, edited.name, change.Writer, func(current bulrushchute.Object) ([]byte, error) {
		if current.Version < base.version {
			return nil, olderVersionError(base, current.Version)
		}
		if current.Version > base.version {
			return nil, base.raceError(parseEntry(current), edited)
		}
		return edited.encode(change)
	})
	var notFound *bulrushchute.NotFoundError
	if errors.As(err, &notFound) {
		return 0, base.raceError(catalogueEntry{kind: base.kind, name: base.name}, edited)
	}
	return stored.Version, err
}

func (c *cli) createEntry(ctx context.Context, store bulrushchute.Store, base, edited catalogueEntry, change bulrushcatalogue.LastChange) (uint64, error) {
	value, err := edited.encode(change)
	if err != nil {
		return 0, err
	}
	object := bulrushchute.Object{Kind: edited.kind, Name: edited.name, Value: value}
	stored, created, err := bulrushstore.CreateOnce(ctx, store, object, change.Writer)
	if err == nil && !created {
		return 0, base.raceError(parseEntry(stored), edited)
	}
	return stored.Version, err
}

// olderVersionError reports that the store returned an older version than the
// base: either the read was stale, or the base version never existed.
func olderVersionError(base catalogueEntry, current uint64) error {
	return &bulrushchute.FieldError{
		Field:   base.path() + " version",
		Value:   strconv.FormatUint(base.version, 10),
		Allowed: fmt.Sprintf("at most %d, the version that the store answered with", current),
	}
}
