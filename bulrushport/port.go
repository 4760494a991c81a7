// Package bulrushport reserves loopback addresses for nodes and servers that tests
// and demos start, and start again, on an address fixed beforehand.
package bulrushport

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

const (
	loopback = "127.0.0.1"
	// firstPort to lastPort lie below the ephemeral ports of Linux: an outgoing
	// connection could take one of those while nothing listens on it.
	firstPort = 10_000
	lastPort  = 32_000
	// maxProbes is the number of ports that are tried for one reservation.
	maxProbes = 1000
)

// Reservation keeps an address for one owner until it is released. It does not
// listen on the address, so the owner may do so any number of times.
type Reservation struct {
	// Address is a loopback address with a TCP port on which nothing listened when
	// it was reserved.
	Address bulrushchute.Address
	// lock is bound to the UDP port of the same number, which excludes the
	// reservations of other processes.
	lock net.PacketConn
}

// Reserve returns an address that no other reservation on this machine has.
func Reserve(ctx context.Context) (*Reservation, error) {
	for range maxProbes {
		port := firstPort + rand.IntN(lastPort-firstPort) //nolint:gosec // not a secret
		address := net.JoinHostPort(loopback, strconv.Itoa(port))
		if reservation := reserve(ctx, address); reservation != nil {
			return reservation, nil
		}
	}
	return nil, errors.Errorf("no free port in %d probes", maxProbes)
}

// reserve returns nil if the address is reserved or in use.
func reserve(ctx context.Context, address string) *Reservation {
	var listenConfig net.ListenConfig
	lock, err := listenConfig.ListenPacket(ctx, "udp", address)
	if err != nil {
		return nil
	}
	listener, err := listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		_ = lock.Close()
		return nil
	}
	_ = listener.Close()
	return &Reservation{Address: bulrushchute.Address(address), lock: lock}
}

// Release allows others to reserve the address.
func (r *Reservation) Release() error {
	return errors.Wrap(r.lock.Close(), "release "+string(r.Address))
}
