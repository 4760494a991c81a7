package bulrushwire

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
)

// peerError reports why a connecting node is rejected, with the HTTP status of
// the response.
type peerError struct {
	status  int
	problem string
}

func (e *peerError) Error() string {
	return headerPeerAddress + " " + e.problem
}

// checkPeerAddress validates the address that a connecting node states. On a
// TLS connection its IP address must be listed in the client certificate.
func checkPeerAddress(peer string, state *tls.ConnectionState) *peerError {
	address, err := netip.ParseAddrPort(peer)
	if err != nil {
		return &peerError{http.StatusBadRequest, "must hold an IP number and a port"}
	}
	if state == nil {
		return nil
	}
	if len(state.PeerCertificates) == 0 || !hasIPAddress(state.PeerCertificates[0], address.Addr()) {
		return &peerError{http.StatusForbidden, "is not an IP number of the client certificate"}
	}
	return nil
}

// hasIPAddress reports whether the certificate is valid for the IP address.
func hasIPAddress(certificate *x509.Certificate, address netip.Addr) bool {
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

// isRejection reports whether a dial failed because one side does not trust the
// other or the peer does not speak the protocol. A peer that is merely
// unreachable is not a rejection.
func isRejection(err error, response *http.Response) bool {
	if response != nil || errors.Is(err, http.ErrSchemeMismatch) {
		return true
	}
	var certificate *tls.CertificateVerificationError
	var record tls.RecordHeaderError
	if errors.As(err, &certificate) || errors.As(err, &record) {
		return true
	}
	// crypto/tls reports an alert sent by the peer as a net.OpError with this Op.
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "remote error"
}
