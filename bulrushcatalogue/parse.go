package bulrushcatalogue

import (
	"encoding/json"
	"fmt"

	"bulrushchute.example/bulrushchute"
)

// File is the command line's format for several entries in one document.
type File struct {
	Services    []ServiceEntry    `json:"services,omitempty"`
	DataCentres []DataCentreEntry `json:"data_centres,omitempty"`
	// BasedOn gives the store versions from which entries of the file were
	// edited, at most one for each entry.
	BasedOn []Base `json:"based_on,omitempty"`
}

// Base is the stored state on which an edited entry is based. The entry of
// that state is optional; with it, a conflict can be told field by field.
type Base struct {
	// Kind is services or datacentres.
	Kind bulrushchute.Kind `json:"kind"`
	Name string            `json:"name"`
	// Version is the store's version of the entry, 0 if there was none.
	Version    uint64           `json:"version"`
	Service    *ServiceEntry    `json:"service,omitempty"`
	DataCentre *DataCentreEntry `json:"data_centre,omitempty"`
}

// Base returns the base of an entry, false if the file gives none.
func (f File) Base(kind bulrushchute.Kind, name string) (Base, bool) {
	for _, base := range f.BasedOn {
		if base.Kind == kind && base.Name == name {
			return base, true
		}
	}
	return Base{}, false
}

// ParseService reads one service entry, applies the defaults and checks it.
// Unknown and repeated fields are refused. Errors are *bulrushchute.FieldError.
func ParseService(document []byte) (ServiceEntry, error) {
	entry, err := decode[ServiceEntry](document)
	if err != nil {
		return ServiceEntry{}, err
	}
	entry = entry.WithDefaults()
	return entry, entry.Validate()
}

// ParseDataCentre reads one data centre entry, applies the defaults and
// checks it, with errors as in ParseService.
func ParseDataCentre(document []byte) (DataCentreEntry, error) {
	entry, err := decode[DataCentreEntry](document)
	if err != nil {
		return DataCentreEntry{}, err
	}
	entry = entry.WithDefaults()
	return entry, entry.Validate()
}

// ParseFile reads a document that holds several entries. Each entry is
// checked on its own, and no name may occur twice.
func ParseFile(document []byte) (File, error) {
	file, err := decode[File](document)
	if err != nil {
		return File{}, err
	}
	for i := range file.Services {
		file.Services[i] = file.Services[i].WithDefaults()
	}
	for i := range file.DataCentres {
		file.DataCentres[i] = file.DataCentres[i].WithDefaults()
	}
	return file, file.Validate()
}

// Validate checks every entry of the file and that names are unique.
func (f File) Validate() error {
	if _, err := checkServices(f.Services); err != nil {
		return err
	}
	dataCentres := newUnique("a data centre that occurs once")
	for i, entry := range f.DataCentres {
		path := fmt.Sprintf("data_centres[%d]", i)
		if err := under(path, entry.Validate()); err != nil {
			return err
		}
		if err := dataCentres.add(path+".data_centre", string(entry.DataCentre)); err != nil {
			return err
		}
	}
	return f.checkBases()
}

// checkServices checks the entries of a document and that names are unique. It
// returns the names.
func checkServices(entries []ServiceEntry) (unique, error) {
	services := newUnique("a service that occurs once")
	for i, entry := range entries {
		path := fmt.Sprintf("services[%d]", i)
		if err := under(path, entry.Validate()); err != nil {
			return services, err
		}
		if err := services.add(path+".service", string(entry.Service)); err != nil {
			return services, err
		}
	}
	return services, nil
}

func (f File) checkBases() error {
	names := newUnique("an entry that occurs once")
	for i, base := range f.BasedOn {
		path := fmt.Sprintf("based_on[%d]", i)
		if err := under(path, base.check()); err != nil {
			return err
		}
		if err := names.add(path+".name", string(base.Kind)+"/"+base.Name); err != nil {
			return err
		}
	}
	return nil
}

// check leaves the values in the base entry alone: it is only compared with.
func (b Base) check() error {
	if b.Kind != bulrushchute.KindServices && b.Kind != bulrushchute.KindDataCentres {
		return refuse("kind", string(b.Kind), "services or datacentres")
	}
	if b.Service != nil && (b.Kind != bulrushchute.KindServices || string(b.Service.Service) != b.Name) {
		return refuse("service.service", string(b.Service.Service), "the entry that kind and name give, "+string(b.Kind)+"/"+b.Name)
	}
	if b.DataCentre != nil && (b.Kind != bulrushchute.KindDataCentres || string(b.DataCentre.DataCentre) != b.Name) {
		return refuse("data_centre.data_centre", string(b.DataCentre.DataCentre), "the entry that kind and name give, "+string(b.Kind)+"/"+b.Name)
	}
	return nil
}

// decode reads a document whose fields must all be known. The structure is
// checked first because encoding/json reports unknown fields without their
// path, ignores letter case and accepts repeated fields.
func decode[T any](document []byte) (T, error) {
	var value T
	if err := checkStructure(document, &value); err != nil {
		return value, err
	}
	if err := json.Unmarshal(document, &value); err != nil {
		return value, &bulrushchute.FieldError{Field: rootField, Value: err.Error(), Allowed: "a JSON document"}
	}
	return value, nil
}
