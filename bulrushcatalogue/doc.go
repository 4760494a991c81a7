// Package bulrushcatalogue holds the entries that operators edit: their
// fields, defaults and checks, and the resolution of a request to a route.
package bulrushcatalogue
