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
	// A version may carry build data, for example 2.4.1+linux_amd64.
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][-A-Za-z0-9._+]{0,127}$`)
	// Methods are case-sensitive tokens (RFC 9110, section 9.1); all that are
	// registered are in capitals.
	methodPattern = regexp.MustCompile(`^[A-Z][A-Z-]{0,31}$`)
)

// checks is safe for concurrent use once it is built.
var checks = newChecks()

func newChecks() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	patterns := map[string]func(string) bool{
		"label":   labelPattern.MatchString,
		"version": versionPattern.MatchString,
		"method":  methodPattern.MatchString,
		"path":    isCanonicalPath,
	}
	for tag, matches := range patterns {
		check := func(level validator.FieldLevel) bool { return matches(level.Field().String()) }
		if err := v.RegisterValidation(tag, check); err != nil {
			panic(fmt.Sprintf("catalogue check %s: %v", tag, err))
		}
	}
	return v
}

// Validate checks an entry whose defaults are set. The error is a
// *bulrushchute.FieldError.
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

// Validate checks an entry whose defaults are set. The error is a
// *bulrushchute.FieldError.
func (de DataCentreEntry) Validate() error {
	return checkTags(de)
}

// CheckChange refuses a change that is valid on its own but not after the old
// entry: a different move must carry a higher generation, because the outcome
// of a generation is announced once and never taken back.
func CheckChange(old, changed ServiceEntry) error {
	if old.Service != changed.Service {
		return refuse("service", string(changed.Service), "the service of the old entry, "+string(old.Service))
	}
	if old.Move == nil || changed.Move == nil || *old.Move == *changed.Move {
		return nil
	}
	if changed.Move.Generation <= old.Move.Generation {
		return refuse("move.generation", strconv.FormatUint(changed.Move.Generation, 10),
			fmt.Sprintf("more than %d, since the move differs", old.Move.Generation))
	}
	return nil
}

func checkTags(entry any) error {
	err := checks.Struct(entry)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return err
	}
	failure := failures[0]
	_, path, _ := strings.Cut(failure.Namespace(), ".")
	return refuse(path, fmt.Sprint(failure.Value()), allowedBy(failure))
}

func allowedBy(failure validator.FieldError) string {
	counted := ""
	if kind := failure.Kind(); kind == reflect.Slice {
		counted = " entries"
	} else if kind == reflect.String {
		counted = " characters"
	}
	switch failure.Tag() {
	case "label":
		return "lower-case letters, digits and inner hyphens, 1 to 63 characters"
	case "version":
		return "letters, digits and . _ + - after a letter or digit, 1 to 128 characters"
	case "method":
		return "an HTTP method in capitals"
	case "path":
		return "a path that starts with / and has no query, empty or dot segment, percent sign or final /"
	case "oneof":
		return "one of " + strings.ReplaceAll(failure.Param(), " ", ", ")
	case "min":
		return "at least " + failure.Param() + counted
	case "max":
		return "at most " + failure.Param() + counted
	case "gt":
		return "more than " + failure.Param()
	case "unique":
		return "each value once"
	case "required":
		return "a value"
	default:
		return failure.Tag() + " " + failure.Param()
	}
}

func (se ServiceEntry) checkLimits() error {
	if se.Limits.ColdSlots > se.Limits.Slots {
		return refuse("limits.cold_slots", strconv.Itoa(se.Limits.ColdSlots), fmt.Sprintf("at most limits.slots, %d", se.Limits.Slots))
	}
	// HTTP/1.1 carries one request at a time on a connection.
	if se.Limits.Connections < se.Limits.Slots {
		return refuse("limits.connections", strconv.Itoa(se.Limits.Connections), fmt.Sprintf("at least limits.slots, %d", se.Limits.Slots))
	}
	return nil
}

func (se ServiceEntry) checkRoutes() error {
	names := newUnique("a name that occurs once")
	matches := newUnique("a prefix and method that no other route has")
	for i, route := range se.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if err := names.add(path+".name", route.Name); err != nil {
			return err
		}
		if route.Name == DefaultRouteName && route.Prefix != "/" {
			return refuse(path+".prefix", route.Prefix, "/ for the route named "+DefaultRouteName)
		}
		if err := route.addMatches(path, matches); err != nil {
			return err
		}
	}
	return nil
}

func (r Route) addMatches(path string, matches unique) error {
	if len(r.Methods) == 0 {
		return matches.add(path+".prefix", r.Prefix)
	}
	for i, method := range r.Methods {
		if err := matches.add(fmt.Sprintf("%s.methods[%d]", path, i), method+" "+r.Prefix); err != nil {
			return err
		}
	}
	return nil
}

func (se ServiceEntry) checkTenants() error {
	names := newUnique("a tenant that occurs once")
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
		return refuse("move.to_version", string(m.ToVersion), "a version other than move.from_version")
	}
	if se.StableVersion != "" && se.StableVersion != m.FromVersion && se.StableVersion != m.ToVersion {
		return refuse("stable_version", string(se.StableVersion),
			fmt.Sprintf("move.from_version %s or move.to_version %s during a move", m.FromVersion, m.ToVersion))
	}
	return nil
}

// unique refuses a value that was added before.
type unique struct {
	seen    map[string]bool
	allowed string
}

func newUnique(allowed string) unique {
	return unique{seen: map[string]bool{}, allowed: allowed}
}

func (u unique) add(path, value string) error {
	if u.seen[value] {
		return refuse(path, value, u.allowed)
	}
	u.seen[value] = true
	return nil
}

// under puts a path in front of the field that an error names.
func under(path string, err error) error {
	var field *bulrushchute.FieldError
	if !errors.As(err, &field) {
		return err
	}
	return &bulrushchute.FieldError{Field: join(path, field.Field), Value: field.Value, Allowed: field.Allowed}
}
