package bulrushcatalogue

import (
	"bytes"
	"encoding/json"
	"fmt"

	"bulrushchute.example/bulrushchute"
)

// File is the format of the command-line tool for several entries in one
// document.
type File struct {
	Services    []ServiceEntry    `json:"services,omitempty"`
	DataCentres []DataCentreEntry `json:"data_centres,omitempty"`
	// BasedOn lists the stored states from which entries of the file were
	// edited, at most one for each entry.
	BasedOn []Base `json:"based_on,omitempty"`
}

// Base is the stored state on which an edited entry is based. The stored entry
// itself is optional; with it, a conflict can be reported field by field.
type Base struct {
	// Kind is services or datacentres.
	Kind bulrushchute.Kind `json:"kind"`
	Name string            `json:"name"`
	// Version is the store version of the entry, 0 if there was no entry.
	Version    uint64           `json:"version"`
	Service    *ServiceEntry    `json:"service,omitempty"`
	DataCentre *DataCentreEntry `json:"data_centre,omitempty"`
}

// Base returns the base of an entry, or false if the file has none.
func (f File) Base(kind bulrushchute.Kind, name string) (Base, bool) {
	for _, base := range f.BasedOn {
		if base.Kind == kind && base.Name == name {
			return base, true
		}
	}
	return Base{}, false
}

// ParseService decodes one service entry, applies the defaults and validates
// it. Unknown and duplicate fields are rejected. Errors are of type
// *bulrushchute.FieldError.
func ParseService(document []byte) (ServiceEntry, error) {
	entry, err := decode[ServiceEntry](document)
	if err != nil {
		return ServiceEntry{}, err
	}
	entry = entry.WithDefaults()
	return entry, entry.Validate()
}

// ParseDataCentre decodes one data centre entry, applies the defaults and
// validates it. Unknown and duplicate fields are rejected. Errors are of type
// *bulrushchute.FieldError.
func ParseDataCentre(document []byte) (DataCentreEntry, error) {
	entry, err := decode[DataCentreEntry](document)
	if err != nil {
		return DataCentreEntry{}, err
	}
	entry = entry.WithDefaults()
	return entry, entry.Validate()
}

// ParseFile decodes a document with several entries. Each entry is validated
// separately, and duplicate names are rejected.
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
	dataCentres := newUniqueValues("a data centre that occurs once")
	for i, entry := range f.DataCentres {
		path := fmt.Sprintf("data_centres[%d]", i)
		if err := prefixField(path, entry.Validate()); err != nil {
			return err
		}
		if err := dataCentres.add(path+".data_centre", string(entry.DataCentre)); err != nil {
			return err
		}
	}
	return f.checkBases()
}

// checkServices validates the entries of a document and rejects duplicate
// names. It returns the names.
func checkServices(entries []ServiceEntry) (uniqueValues, error) {
	services := newUniqueValues("a service that occurs once")
	for i, entry := range entries {
		path := fmt.Sprintf("services[%d]", i)
		if err := prefixField(path, entry.Validate()); err != nil {
			return services, err
		}
		if err := services.add(path+".service", string(entry.Service)); err != nil {
			return services, err
		}
	}
	return services, nil
}

func (f File) checkBases() error {
	names := newUniqueValues("an entry that occurs once")
	for i, base := range f.BasedOn {
		path := fmt.Sprintf("based_on[%d]", i)
		if err := prefixField(path, base.check()); err != nil {
			return err
		}
		if err := names.add(path+".name", string(base.Kind)+"/"+base.Name); err != nil {
			return err
		}
	}
	return nil
}

// check does not validate the fields of the stored entry, which is only used
// for comparison.
func (b Base) check() error {
	if b.Kind != bulrushchute.KindServices && b.Kind != bulrushchute.KindDataCentres {
		return newFieldError("kind", string(b.Kind), "services or datacentres")
	}
	if b.Service != nil && (b.Kind != bulrushchute.KindServices || string(b.Service.Service) != b.Name) {
		return newFieldError("service.service", string(b.Service.Service), "the entry that kind and name give, "+string(b.Kind)+"/"+b.Name)
	}
	if b.DataCentre != nil && (b.Kind != bulrushchute.KindDataCentres || string(b.DataCentre.DataCentre) != b.Name) {
		return newFieldError("data_centre.data_centre", string(b.DataCentre.DataCentre), "the entry that kind and name give, "+string(b.Kind)+"/"+b.Name)
	}
	return nil
}

// decode unmarshals a document whose fields must all be known. The structure is
// checked first because encoding/json reports unknown fields without their
// path, ignores letter case and accepts duplicate fields.
func decode[T any](document []byte) (T, error) {
	if value, ok := decodeCanonical[T](document); ok {
		return value, nil
	}
	var value T
	if err := checkStructure(document, &value); err != nil {
		return value, err
	}
	if err := json.Unmarshal(document, &value); err != nil {
		return value, &bulrushchute.FieldError{Field: rootField, Value: err.Error(), Allowed: "a JSON document"}
	}
	return value, nil
}

// decodeCanonical unmarshals a document that is the exact encoding of its value, as
// nodes send it to each other, or returns false. Such a document has only known
// fields, once each. A table of 2,000 routes takes checkStructure most of its time.
func decodeCanonical[T any](document []byte) (T, bool) {
	var value T
	// A list of null is encoded as null, but checkStructure rejects it.
	if len(document) > bulrushchute.MaxObjectBytes || bytes.Contains(document, []byte("null")) {
		return value, false
	}
	if json.Unmarshal(document, &value) != nil {
		return value, false
	}
	encoded, err := json.Marshal(value)
	return value, err == nil && bytes.Equal(encoded, document)
}
