// Package bulrushcatalogue defines the catalogue entries that operators edit,
// with their defaults and validation, and resolves a request to its route.
package bulrushcatalogue
