// Package bulrushmove implements the staged rollout of a new service version.
//
// Admission nodes collect evidence with a Recorder, and entry nodes route each
// request to one of the two versions with a Splitter, according to the current
// share (Shares). The holder of the move lease runs a Controller, which
// aggregates the evidence, compares the new version with the old one running
// concurrently (Judge), raises the share stage by stage, sets it to 0 if the
// new version is bad, and announces the outcome once. A Brake lets any entry
// node set the share to 0 on its own evidence. The package does no I/O: a
// Controller returns store calls and records as actions.
package bulrushmove
