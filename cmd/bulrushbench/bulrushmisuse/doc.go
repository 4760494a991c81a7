// Package bulrushmisuse tests real nodes with callers that misbehave: with requests that
// are legal but costly, with requests that never end, and with connections that stay open.
//
// Its tests measure the memory and the descriptors of processes, so they run one at a time
// and apart from other tests.
package bulrushmisuse
