package bulrushcatalogue

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"

	"bulrushchute.example/bulrushchute"
)

var (
	// A label is part of host names and of object names in the store, so it
	// follows RFC 1123.
	labelPattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?$`)
	// A version may include build metadata, for example 2.4.1+linux_amd64.
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][-A-Za-z0-9._+]{0,127}$`)
	// Methods are case-sensitive tokens (RFC 9110, section 9.1). All registered
	// methods are in upper case.
	methodPattern = regexp.MustCompile(`^[A-Z][A-Z-]{0,31}$`)
)

// structValidator is safe for concurrent use after its construction.
var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	patterns := map[string]func(string) bool{
		"label":   labelPattern.MatchString,
		"version": versionPattern.MatchString,
		"method":  methodPattern.MatchString,
		"path":    isCanonicalPath,
	}
	for tag, match := range patterns {
		check := func(level validator.FieldLevel) bool { return match(level.Field().String()) }
		if err := v.RegisterValidation(tag, check); err != nil {
			panic(fmt.Sprintf("register validation tag %s: %v", tag, err))
		}
	}
	return v
}

// Validate checks an entry to which the defaults were applied. Errors are of
// type *bulrushchute.FieldError.
func (se ServiceEntry) Validate() error {
	if err := checkTags(se); err != nil {
		return err
	}
	for _, check := range []func() error{se.checkLimits, se.checkRoutes, se.checkTenants, se.checkMove} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// Validate checks an entry to which the defaults were applied. Errors are of
// type *bulrushchute.FieldError.
func (de DataCentreEntry) Validate() error {
	return checkTags(de)
}

// CheckUpdate rejects an updated entry that is valid by itself but not as a
// successor of the old entry. A different move must have a higher generation,
// because the outcome of a generation is announced once and never revoked.
func CheckUpdate(old, updated ServiceEntry) error {
	if old.Service != updated.Service {
		return newFieldError("service", string(updated.Service), "the service of the old entry, "+string(old.Service))
	}
	if old.Move == nil || updated.Move == nil || *old.Move == *updated.Move {
		return nil
	}
	if updated.Move.Generation <= old.Move.Generation {
		return newFieldError("move.generation", strconv.FormatUint(updated.Move.Generation, 10),
			fmt.Sprintf("more than %d, since the move differs", old.Move.Generation))
	}
	return nil
}

func checkTags(entry any) error {
	err := structValidator.Struct(entry)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return err
	}
	violation := violations[0]
	_, path, _ := strings.Cut(violation.Namespace(), ".")
	return newFieldError(path, describeValue(violation), allowedValues(violation))
}

// describeValue describes the value of a violation. It does not print the entries
// of a list, which may be digests of API keys.
func describeValue(violation validator.FieldError) string {
	if violation.Kind() == reflect.Slice {
		return fmt.Sprintf("%d entries", reflect.ValueOf(violation.Value()).Len())
	}
	return fmt.Sprint(violation.Value())
}

func allowedValues(violation validator.FieldError) string {
	unit := ""
	if kind := violation.Kind(); kind == reflect.Slice {
		unit = " entries"
	} else if kind == reflect.String {
		unit = " characters"
	}
	switch violation.Tag() {
	case "label":
		return "lower-case letters, digits and inner hyphens, 1 to 63 characters"
	case "version":
		return "letters, digits and . _ + - after a letter or digit, 1 to 128 characters"
	case "method":
		return "an HTTP method in capitals"
	case "path":
		return "a path that starts with / and has no query, empty or dot segment, percent sign or final /"
	case "oneof":
		return "one of " + strings.ReplaceAll(violation.Param(), " ", ", ")
	case "min":
		return "at least " + violation.Param() + unit
	case "max":
		return "at most " + violation.Param() + unit
	case "gt":
		return "more than " + violation.Param()
	case "unique":
		return "each value once"
	case "required":
		return "a value"
	default:
		return violation.Tag() + " " + violation.Param()
	}
}

func (se ServiceEntry) checkLimits() error {
	if se.Limits.ColdSlots > se.Limits.Slots {
		return newFieldError("limits.cold_slots", strconv.Itoa(se.Limits.ColdSlots), fmt.Sprintf("at most limits.slots, %d", se.Limits.Slots))
	}
	// HTTP/1.1 carries one request at a time on a connection, so each slot needs
	// its own.
	if se.Limits.Connections < se.Limits.Slots {
		return newFieldError("limits.connections", strconv.Itoa(se.Limits.Connections), fmt.Sprintf("at least limits.slots, %d", se.Limits.Slots))
	}
	return nil
}

func (se ServiceEntry) checkRoutes() error {
	names := newUniqueValues("a name that occurs once")
	patterns := newUniqueValues("a prefix and method that no other route has")
	for i, route := range se.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if err := names.add(path+".name", route.Name); err != nil {
			return err
		}
		if route.Name == DefaultRouteName && route.Prefix != "/" {
			return newFieldError(path+".prefix", route.Prefix, "/ for the route named "+DefaultRouteName)
		}
		if err := route.addPatterns(path, patterns); err != nil {
			return err
		}
	}
	return nil
}

func (r Route) addPatterns(path string, patterns uniqueValues) error {
	if len(r.Methods) == 0 {
		return patterns.add(path+".prefix", r.Prefix)
	}
	for i, method := range r.Methods {
		if err := patterns.add(fmt.Sprintf("%s.methods[%d]", path, i), method+" "+r.Prefix); err != nil {
			return err
		}
	}
	return nil
}

func (se ServiceEntry) checkTenants() error {
	names := newUniqueValues("a tenant that occurs once")
	for i, share := range se.Tenants {
		if err := names.add(fmt.Sprintf("tenants[%d].tenant", i), string(share.Tenant)); err != nil {
			return err
		}
	}
	return nil
}

func (se ServiceEntry) checkMove() error {
	m := se.Move
	if m == nil {
		return nil
	}
	if m.FromVersion == m.ToVersion {
		return newFieldError("move.to_version", string(m.ToVersion), "a version other than move.from_version")
	}
	if se.StableVersion != "" && se.StableVersion != m.FromVersion && se.StableVersion != m.ToVersion {
		return newFieldError("stable_version", string(se.StableVersion),
			fmt.Sprintf("move.from_version %s or move.to_version %s during a move", m.FromVersion, m.ToVersion))
	}
	return nil
}

// uniqueValues rejects a value that was added before.
type uniqueValues struct {
	seen    map[string]bool
	allowed string
}

func newUniqueValues(allowed string) uniqueValues {
	return uniqueValues{seen: map[string]bool{}, allowed: allowed}
}

func (u uniqueValues) add(path, value string) error {
	if u.seen[value] {
		return newFieldError(path, value, u.allowed)
	}
	u.seen[value] = true
	return nil
}

// prefixField prepends a path to the field that an error names.
func prefixField(path string, err error) error {
	var fieldErr *bulrushchute.FieldError
	if !errors.As(err, &fieldErr) {
		return err
	}
	return &bulrushchute.FieldError{Field: joinPath(path, fieldErr.Field), Value: fieldErr.Value, Allowed: fieldErr.Allowed}
}
