// Package bulrushmove moves a service from one version to another in steps.
//
// Admission nodes gather evidence with a Recorder, entry nodes divide requests
// with a Splitter by the share in force (Shares), and the holder of the move
// lease runs a Controller: it sums the evidence, compares the new version with
// the old one that runs beside it (Judge), raises the share step by step,
// lowers it to 0 when the new version is bad, and announces the outcome once.
// A Brake lets any entry node lower the share on its own evidence. Nothing
// here does I/O: a Controller returns store calls and records as actions.
package bulrushmove
