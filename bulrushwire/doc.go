// Package bulrushwire encodes the messages between nodes as CBOR and carries
// them over WebSocket connections.
//
// A node keeps separate connections for attempts and for control messages to
// the same peer, so that a large answer does not delay a heartbeat.
package bulrushwire
