// Package bulrushmetric counts the outcomes of requests and records their
// latencies in histograms for each service, tenant and class, and publishes
// both through expvar. Its types are safe for concurrent use.
package bulrushmetric
