package bulrushcommand

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

var catalogueKinds = []bulrushchute.Kind{bulrushchute.KindServices, bulrushchute.KindDataCentres}

func (s *session) newGet() *cobra.Command {
	return &cobra.Command{
		Use:   "get [KIND [NAME]]",
		Short: "Show stored entries and their versions",
		Long: "Show stored entries and their versions. KIND is services or datacentres.\n\n" +
			"With --json the output is a catalogue file. It carries the versions in based_on, so that an apply of\n" +
			"the edited file does not overwrite what others have stored in the meantime.",
		Args: cobra.MaximumNArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			kinds := catalogueKinds
			if len(arguments) > 0 {
				kind := bulrushchute.Kind(arguments[0])
				if kind != bulrushchute.KindServices && kind != bulrushchute.KindDataCentres {
					return usage("KIND", arguments[0], "services or datacentres")
				}
				kinds = []bulrushchute.Kind{kind}
			}
			store, err := s.store()
			if err != nil {
				return err
			}
			documents, err := readAll(command.Context(), store, kinds, arguments)
			if err != nil {
				return err
			}
			return s.show(documents, len(arguments) > 1)
		},
	}
}

func readAll(ctx context.Context, store bulrushchute.Store, kinds []bulrushchute.Kind, arguments []string) ([]document, error) {
	if len(arguments) > 1 {
		object, err := store.Get(ctx, kinds[0], arguments[1])
		if err != nil {
			return nil, err
		}
		return []document{parseDocument(object)}, nil
	}
	var documents []document
	for _, kind := range kinds {
		objects, _, err := store.List(ctx, kind)
		if err != nil {
			return nil, err
		}
		for _, object := range objects {
			documents = append(documents, parseDocument(object))
		}
	}
	return documents, nil
}

func (s *session) show(documents []document, fields bool) error {
	err := s.print(fileOf(documents), func(w *tabwriter.Writer) {
		writeLine(w, "KIND\tNAME\tVERSION\tOWNER OR STATE\tBY\tAT")
		for _, d := range documents {
			change := d.lastChange()
			writeLine(w, fmt.Sprintf("%s\t%s\t%d\t%s\t%s\t%s", d.kind, d.name, d.version, d.summary(), orDash(change.By), timeText(change.AtMs)))
		}
		if fields {
			documents[0].printFields(w)
		}
	})
	if err != nil {
		return err
	}
	for _, d := range documents {
		if d.invalid != nil {
			return errors.Wrapf(d.invalid, "stored entry %s is invalid", d.path())
		}
	}
	return nil
}

func (d document) summary() string {
	switch {
	case d.service != nil:
		return d.service.Owner
	case d.dataCentre != nil:
		return string(d.dataCentre.State)
	default:
		return "invalid"
	}
}

func (d document) printFields(w *tabwriter.Writer) {
	writeLine(w, "")
	writeLine(w, "FIELD\tVALUE")
	for _, change := range (document{kind: d.kind}).changesTo(d) {
		writeLine(w, change.Field+"\t"+change.New)
	}
}

// fileOf returns the valid entries as a catalogue file that is based on them.
func fileOf(documents []document) bulrushcatalogue.File {
	var file bulrushcatalogue.File
	for _, d := range documents {
		base := bulrushcatalogue.Base{Kind: d.kind, Name: d.name, Version: d.version, Service: d.service, DataCentre: d.dataCentre}
		switch {
		case d.service != nil:
			entry := *d.service
			entry.Change = nil
			file.Services = append(file.Services, entry)
		case d.dataCentre != nil:
			entry := *d.dataCentre
			entry.Change = nil
			file.DataCentres = append(file.DataCentres, entry)
		default:
			continue
		}
		file.BasedOn = append(file.BasedOn, base)
	}
	return file
}
