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

// document is a catalogue entry of either kind. The entry is nil where none is
// stored or the stored one is invalid.
type document struct {
	kind       bulrushchute.Kind
	name       string
	version    uint64
	service    *bulrushcatalogue.ServiceEntry
	dataCentre *bulrushcatalogue.DataCentreEntry
	// invalid is why a stored entry cannot be read.
	invalid error
}

func serviceDocument(entry bulrushcatalogue.ServiceEntry) document {
	return document{kind: bulrushchute.KindServices, name: string(entry.Service), service: &entry}
}

func dataCentreDocument(entry bulrushcatalogue.DataCentreEntry) document {
	return document{kind: bulrushchute.KindDataCentres, name: string(entry.DataCentre), dataCentre: &entry}
}

// documentsOf returns the entries of a file in its order.
func documentsOf(file bulrushcatalogue.File) []document {
	var documents []document
	for _, entry := range file.Services {
		documents = append(documents, serviceDocument(entry))
	}
	for _, entry := range file.DataCentres {
		documents = append(documents, dataCentreDocument(entry))
	}
	return documents
}

// baseDocument returns the entry that a file gives as its base, if it does.
func baseDocument(base bulrushcatalogue.Base) document {
	d := document{kind: base.Kind, name: base.Name, version: base.Version}
	if base.Service != nil {
		entry := base.Service.WithDefaults()
		d.service = &entry
	}
	if base.DataCentre != nil {
		entry := base.DataCentre.WithDefaults()
		d.dataCentre = &entry
	}
	return d
}

func parseDocument(object bulrushchute.Object) document {
	d := document{kind: object.Kind, name: object.Name, version: object.Version}
	if object.Kind == bulrushchute.KindServices {
		entry, err := bulrushcatalogue.ParseService(object.Value)
		if err == nil && string(entry.Service) != object.Name {
			err = &bulrushchute.FieldError{Field: "service", Value: string(entry.Service), Allowed: "the object's name, " + object.Name}
		}
		if d.invalid = err; err == nil {
			d.service = &entry
		}
		return d
	}
	entry, err := bulrushcatalogue.ParseDataCentre(object.Value)
	if err == nil && string(entry.DataCentre) != object.Name {
		err = &bulrushchute.FieldError{Field: "data_centre", Value: string(entry.DataCentre), Allowed: "the object's name, " + object.Name}
	}
	if d.invalid = err; err == nil {
		d.dataCentre = &entry
	}
	return d
}

// read returns the stored entry, at version 0 if there is none.
func read(ctx context.Context, store bulrushchute.Store, kind bulrushchute.Kind, name string) (document, error) {
	object, err := store.Get(ctx, kind, name)
	var missing *bulrushchute.NotFoundError
	if errors.As(err, &missing) {
		return document{kind: kind, name: name}, nil
	}
	if err != nil {
		return document{}, err
	}
	return parseDocument(object), nil
}

func (d document) path() string {
	return string(d.kind) + "/" + d.name
}

// present reports whether the document holds an entry.
func (d document) present() bool {
	return d.service != nil || d.dataCentre != nil
}

func (d document) lastChange() bulrushcatalogue.LastChange {
	switch {
	case d.service != nil && d.service.Change != nil:
		return *d.service.Change
	case d.dataCentre != nil && d.dataCentre.Change != nil:
		return *d.dataCentre.Change
	default:
		return bulrushcatalogue.LastChange{}
	}
}

// changesTo lists the fields in which another document of the same kind differs.
func (d document) changesTo(changed document) bulrushcatalogue.Changes {
	if d.kind == bulrushchute.KindServices {
		return bulrushcatalogue.Diff(orZero(d.service), orZero(changed.service))
	}
	return bulrushcatalogue.Diff(orZero(d.dataCentre), orZero(changed.dataCentre))
}

func orZero[E any](entry *E) E {
	if entry == nil {
		var zero E
		return zero
	}
	return *entry
}

// checkChange refuses a change that the catalogue does not allow after this document.
func (d document) checkChange(changed document) error {
	if d.service == nil || changed.service == nil {
		return nil
	}
	return bulrushcatalogue.CheckChange(*d.service, *changed.service)
}

// validate checks the entry of an edited document.
func (d document) validate() error {
	if d.service != nil {
		return d.service.Validate()
	}
	return d.dataCentre.Validate()
}

// encode returns the value to store, signed with a change.
func (d document) encode(change bulrushcatalogue.LastChange) ([]byte, error) {
	var value any
	if d.service != nil {
		entry := *d.service
		entry.Change = &change
		value = entry
	} else {
		entry := *d.dataCentre
		entry.Change = &change
		value = entry
	}
	data, err := json.Marshal(value)
	return data, errors.Wrapf(err, "encode %s", d.path())
}

// race describes that an edit, based on this document, found another version.
func (d document) race(found, edited document) *RaceError {
	change := found.lastChange()
	race := &RaceError{Kind: d.kind, Name: d.name, Based: d.version, Found: found.version, By: change.By, AtMs: change.AtMs}
	race.BaseKnown = d.present() || (d.version == 0 && d.invalid == nil)
	if race.BaseKnown {
		race.Changes = d.changesTo(found)
	} else {
		race.Changes = found.changesTo(edited)
	}
	return race
}

// sign returns the record of a new write by the operator.
func (s *session) sign() bulrushcatalogue.LastChange {
	return bulrushcatalogue.LastChange{Writer: uuid.NewString(), By: s.operator, AtMs: s.Clock.Now()}
}

// errUnchanged ends an edit that would change nothing.
var errUnchanged = errors.New("nothing to change")

// put stores a document if the stored one is still at the version of its base.
func (s *session) put(ctx context.Context, store bulrushchute.Store, base, edited document) (uint64, error) {
	change := s.sign()
	if base.version == 0 {
		return s.create(ctx, store, base, edited, change)
	}
	stored, err := bulrushstore.UpdateObject(ctx, store, edited.kind, edited.name, change.Writer, func(current bulrushchute.Object) ([]byte, error) {
		if current.Version < base.version {
			return nil, olderError(base, current.Version)
		}
		if current.Version > base.version {
			return nil, base.race(parseDocument(current), edited)
		}
		return edited.encode(change)
	})
	var missing *bulrushchute.NotFoundError
	if errors.As(err, &missing) {
		return 0, base.race(document{kind: base.kind, name: base.name}, edited)
	}
	return stored.Version, err
}

func (s *session) create(ctx context.Context, store bulrushchute.Store, base, edited document, change bulrushcatalogue.LastChange) (uint64, error) {
	value, err := edited.encode(change)
	if err != nil {
		return 0, err
	}
	object := bulrushchute.Object{Kind: edited.kind, Name: edited.name, Value: value}
	stored, created, err := bulrushstore.CreateOnce(ctx, store, object, change.Writer)
	if err == nil && !created {
		return 0, base.race(parseDocument(stored), edited)
	}
	return stored.Version, err
}

// olderError reports a stale answer of the store, or a base version that never existed.
func olderError(base document, found uint64) error {
	return &bulrushchute.FieldError{
		Field:   base.path() + " version",
		Value:   strconv.FormatUint(base.version, 10),
		Allowed: fmt.Sprintf("at most %d, the version that the store answered with", found),
	}
}
