// Package bulrushcatalogue defines the catalogue entries that operators edit,
// with their defaults and validation, and the routing table. It resolves a
// request to its route.
package bulrushcatalogue
