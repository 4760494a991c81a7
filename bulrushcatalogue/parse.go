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
	services := newUnique("a service that occurs once")
	for i, entry := range f.Services {
		path := fmt.Sprintf("services[%d]", i)
		if err := under(path, entry.Validate()); err != nil {
			return err
		}
		if err := services.add(path+".service", string(entry.Service)); err != nil {
			return err
		}
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
