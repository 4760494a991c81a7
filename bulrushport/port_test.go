package bulrushport

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an address given to two owners, or taken while its owner does not
// listen on it.
func TestReservedAddressIsExclusive(t *testing.T) {
	reservation, err := Reserve(t.Context())
	assert.NilError(t, err)
	address := string(reservation.Address)
	for range 2 {
		assert.Assert(t, reserve(t.Context(), address) == nil, "reserved twice")
		listener, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, listener.Close())
	}
	assert.NilError(t, reservation.Release())
	again := reserve(t.Context(), address)
	assert.Assert(t, again != nil, "not released")
	assert.NilError(t, again.Release())
}

// Guards against reserving an address on which another program listens.
func TestAddressInUseIsNotReserved(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	assert.Assert(t, reserve(t.Context(), listener.Addr().String()) == nil)
}
