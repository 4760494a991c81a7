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

func (c *cli) newGetCommand() *cobra.Command {
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
					return newUsageError("KIND", arguments[0], "services or datacentres")
				}
				kinds = []bulrushchute.Kind{kind}
			}
			store, err := c.store()
			if err != nil {
				return err
			}
			entries, err := readEntries(command.Context(), store, kinds, arguments)
			if err != nil {
				return err
			}
			return c.printEntries(entries, len(arguments) > 1)
		},
	}
}

// readEntries returns all stored entries of the kinds. If the arguments of get
// include a name, it returns only the entry of that name and of the first kind.
func readEntries(ctx context.Context, store bulrushchute.Store, kinds []bulrushchute.Kind, arguments []string) ([]catalogueEntry, error) {
	if len(arguments) > 1 {
		object, err := store.Get(ctx, kinds[0], arguments[1])
		if err != nil {
			return nil, err
		}
		return []catalogueEntry{parseEntry(object)}, nil
	}
	var entries []catalogueEntry
	for _, kind := range kinds {
		objects, _, err := store.List(ctx, kind)
		if err != nil {
			return nil, err
		}
		for _, object := range objects {
			entries = append(entries, parseEntry(object))
		}
	}
	return entries, nil
}

// printEntries prints one line for each entry. With withFields, which requires
// exactly one entry, it also prints the entry's fields. If an entry is invalid, it
// returns an error after it has printed all of them.
func (c *cli) printEntries(entries []catalogueEntry, withFields bool) error {
	err := c.print(newCatalogueFile(entries), func(w *tabwriter.Writer) {
		writeLine(w, "KIND\tNAME\tVERSION\tOWNER OR STATE\tBY\tAT")
		for _, ce := range entries {
			change := ce.lastChange()
			writeLine(w, fmt.Sprintf("%s\t%s\t%d\t%s\t%s\t%s", ce.kind, ce.name, ce.version, ce.ownerOrState(), orDash(change.By), formatTime(change.AtMs)))
		}
		if withFields {
			entries[0].printFields(w)
		}
	})
	if err != nil {
		return err
	}
	for _, ce := range entries {
		if ce.parseErr != nil {
			return errors.Wrapf(ce.parseErr, "stored entry %s is invalid", ce.path())
		}
	}
	return nil
}

func (ce catalogueEntry) ownerOrState() string {
	switch {
	case ce.service != nil:
		return ce.service.Owner
	case ce.dataCentre != nil:
		return string(ce.dataCentre.State)
	default:
		return "invalid"
	}
}

// printFields prints all fields of the entry, which are its differences from an
// empty one.
func (ce catalogueEntry) printFields(w *tabwriter.Writer) {
	writeLine(w, "")
	writeLine(w, "FIELD\tVALUE")
	for _, change := range (catalogueEntry{kind: ce.kind}).diff(ce) {
		writeLine(w, change.Field+"\t"+change.New)
	}
}

// newCatalogueFile returns a catalogue file with the valid entries, each based on
// its stored version. Invalid entries are omitted.
func newCatalogueFile(entries []catalogueEntry) bulrushcatalogue.File {
	var file bulrushcatalogue.File
	for _, ce := range entries {
		base := bulrushcatalogue.Base{Kind: ce.kind, Name: ce.name, Version: ce.version, Service: ce.service, DataCentre: ce.dataCentre}
		switch {
		case ce.service != nil:
			entry := *ce.service
			entry.LastChange = nil
			file.Services = append(file.Services, entry)
		case ce.dataCentre != nil:
			entry := *ce.dataCentre
			entry.LastChange = nil
			file.DataCentres = append(file.DataCentres, entry)
		default:
			continue
		}
		file.BasedOn = append(file.BasedOn, base)
	}
	return file
}
