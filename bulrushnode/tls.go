package bulrushnode

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net"
	"strings"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// TLSSettings contains certificates and keys as PEM text. A node reads them only at
// its start. The three peer fields must be set together, and so must the three
// caller fields.
type TLSSettings struct {
	// PeerCA verifies the certificates of other nodes on dialled and on accepted
	// connections.
	PeerCA PEMText `json:"peer_ca,omitempty"`
	// PeerCertificate is the certificate for the IP address in peer_address. It is
	// used as server and as client certificate.
	PeerCertificate PEMText `json:"peer_certificate,omitempty"`
	PeerKey         PEMText `json:"peer_key,omitempty"`
	// CallerCA verifies the certificates of callers.
	CallerCA          PEMText `json:"caller_ca,omitempty"`
	CallerCertificate PEMText `json:"caller_certificate,omitempty"`
	CallerKey         PEMText `json:"caller_key,omitempty"`
	// StoreCA verifies the certificate of an https store. If it is empty, the
	// system's root certificates are used.
	StoreCA PEMText `json:"store_ca,omitempty"`
}

// PEMText is PEM text that is redacted in formatted output. This includes
// certificates, because a key may have been put in the wrong field.
type PEMText string

// redacted replaces PEM text in errors and logs.
const redacted = "(not shown)"

// String implements fmt.Stringer.
func (PEMText) String() string {
	return redacted
}

// GoString implements fmt.GoStringer.
func (PEMText) GoString() string {
	return redacted
}

// tlsConfigs contains the parsed TLS settings. A nil configuration means
// connections without TLS.
type tlsConfigs struct {
	peerServer *tls.Config
	peerClient *tls.Config
	caller     *tls.Config
	store      *tls.Config
}

// parseTLS parses and validates the TLS settings.
func (s Settings) parseTLS() (tlsConfigs, error) {
	var configs tlsConfigs
	var err error
	if configs.peerServer, configs.peerClient, err = s.parsePeerTLS(); err != nil {
		return tlsConfigs{}, err
	}
	if configs.caller, err = s.parseCallerTLS(); err != nil {
		return tlsConfigs{}, err
	}
	if configs.store, err = s.StoreTLS(); err != nil {
		return tlsConfigs{}, err
	}
	return configs, nil
}

// tlsCredentials contains the CA, certificate and key for peers or for callers, and
// the prefix of their field names.
type tlsCredentials struct {
	prefix      string
	ca          PEMText
	certificate PEMText
	key         PEMText
}

// parse returns nil without an error if all fields are empty.
func (c tlsCredentials) parse() (*tls.Config, error) {
	if c.ca == "" && c.certificate == "" && c.key == "" {
		return nil, nil
	}
	pool, err := parsePool(c.prefix+"_ca", c.ca)
	if err != nil {
		return nil, err
	}
	if _, err := parsePool(c.prefix+"_certificate", c.certificate); err != nil {
		return nil, err
	}
	keyPair, err := tls.X509KeyPair([]byte(c.certificate), []byte(c.key))
	if err != nil {
		return nil, tlsFieldError(c.prefix+"_key", c.key, "the PEM private key of "+c.prefix+"_certificate")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"http/1.1"},
		Certificates: []tls.Certificate{keyPair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// Without session resumption, each connection verifies the whole chain.
		SessionTicketsDisabled: true,
	}, nil
}

// parsePool rejects text that contains anything but certificates, which
// x509.CertPool would silently skip.
func parsePool(field string, text PEMText) (*x509.CertPool, error) {
	fieldErr := tlsFieldError(field, text, "one or more PEM certificates")
	pool := x509.NewCertPool()
	rest := []byte(strings.TrimSpace(string(text)))
	if len(rest) == 0 {
		return nil, fieldErr
	}
	for len(rest) > 0 {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil || block.Type != "CERTIFICATE" {
			return nil, fieldErr
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fieldErr
		}
		pool.AddCert(certificate)
	}
	return pool, nil
}

func tlsFieldError(field string, text PEMText, allowed string) error {
	value := redacted
	if text == "" {
		value = ""
	}
	return &bulrushchute.FieldError{Field: "tls." + field, Value: value, Allowed: allowed}
}

// parsePeerTLS returns the configurations for accepting and for dialling peers, or
// nil if connections between nodes do not use TLS.
func (s Settings) parsePeerTLS() (*tls.Config, *tls.Config, error) {
	credentials := tlsCredentials{"peer", s.TLS.PeerCA, s.TLS.PeerCertificate, s.TLS.PeerKey}
	server, err := credentials.parse()
	if server == nil || err != nil {
		return nil, nil, err
	}
	if err := checkPeerCertificate(server, s.PeerAddress); err != nil {
		return nil, nil, err
	}
	return server, server.Clone(), nil
}

// checkPeerCertificate detects at the start a certificate that all other nodes
// would reject.
func checkPeerCertificate(config *tls.Config, address bulrushchute.Address) error {
	leaf := config.Certificates[0].Leaf
	host, _, err := net.SplitHostPort(string(address))
	if err != nil || leaf.VerifyHostname(host) != nil {
		return tlsFieldError("peer_certificate", redacted, "a certificate that names the IP number of peer_address")
	}
	intermediates := x509.NewCertPool()
	for _, der := range config.Certificates[0].Certificate[1:] {
		certificate, err := x509.ParseCertificate(der)
		if err != nil {
			return tlsFieldError("peer_certificate", redacted, "PEM certificates")
		}
		intermediates.AddCert(certificate)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options := x509.VerifyOptions{Roots: config.RootCAs, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}}
		if _, err := leaf.Verify(options); err != nil {
			return tlsFieldError("peer_certificate", redacted, "a certificate of peer_ca that is valid now, for server and client authentication")
		}
	}
	return nil
}

func (s Settings) parseCallerTLS() (*tls.Config, error) {
	credentials := tlsCredentials{"caller", s.TLS.CallerCA, s.TLS.CallerCertificate, s.TLS.CallerKey}
	config, err := credentials.parse()
	if config == nil || err != nil {
		return nil, err
	}
	if s.TrustTenantHeader {
		return nil, &bulrushchute.FieldError{Field: "trust_tenant_header", Value: "true", Allowed: "false when tls.caller_ca is set"}
	}
	config.VerifyConnection = requireCommonName
	return config, nil
}

// requireCommonName rejects callers whose certificate has no common name, because
// they would all share the empty tenant.
func requireCommonName(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 || state.PeerCertificates[0].Subject.CommonName == "" {
		return errors.New("client certificate has no CommonName")
	}
	return nil
}

// StoreTLS returns the configuration for an https store, and nil for an http store.
func (s Settings) StoreTLS() (*tls.Config, error) {
	secure := strings.HasPrefix(s.StoreURL, "https://")
	if s.TLS.StoreCA == "" {
		if !secure {
			return nil, nil
		}
		return &tls.Config{MinVersion: tls.VersionTLS13}, nil
	}
	if !secure {
		return nil, tlsFieldError("store_ca", s.TLS.StoreCA, "nothing unless store_url begins with https://")
	}
	pool, err := parsePool("store_ca", s.TLS.StoreCA)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}, nil
}
