// Package bulrushwire encodes the messages between nodes as CBOR and carries
// them over WebSocket connections.
//
// A node uses separate connections to the same peer for attempts and for
// control messages, so that a large answer does not delay a heartbeat.
package bulrushwire
