package bulrushwire

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
)

// peerError is the reason why a connecting node is refused.
type peerError struct {
	status  int
	problem string
}

func (e *peerError) Error() string {
	return headerPeerAddress + " " + e.problem
}

// checkPeer checks the address that a connecting node states.
func checkPeer(peer string, state *tls.ConnectionState) *peerError {
	address, err := netip.ParseAddrPort(peer)
	if err != nil {
		return &peerError{http.StatusBadRequest, "must hold an IP number and a port"}
	}
	if state == nil {
		return nil
	}
	if len(state.PeerCertificates) == 0 || !namesAddress(state.PeerCertificates[0], address.Addr()) {
		return &peerError{http.StatusForbidden, "is not an IP number of the client certificate"}
	}
	return nil
}

func namesAddress(certificate *x509.Certificate, address netip.Addr) bool {
	if address.Zone() != "" {
		return false
	}
	for _, named := range certificate.IPAddresses {
		if named.Equal(net.IP(address.AsSlice())) {
			return true
		}
	}
	return false
}

// isRefusal tells a peer that one side does not trust, or that does not speak
// the protocol, from a peer that is merely unreachable.
func isRefusal(err error, response *http.Response) bool {
	if response != nil || errors.Is(err, http.ErrSchemeMismatch) {
		return true
	}
	var certificate *tls.CertificateVerificationError
	var record tls.RecordHeaderError
	if errors.As(err, &certificate) || errors.As(err, &record) {
		return true
	}
	// crypto/tls reports an alert of the other side as this operation.
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "remote error"
}
