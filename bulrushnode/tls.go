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

// TLSSettings hold PEM text. A node reads them once, at its start. The three
// peer fields belong together, and so do the three caller fields.
type TLSSettings struct {
	// PeerCA verifies the certificates of other nodes, on dial and on accept.
	PeerCA PEMText `json:"peer_ca,omitempty"`
	// PeerCertificate names the IP number of peer_address. It serves both as
	// server and as client certificate.
	PeerCertificate PEMText `json:"peer_certificate,omitempty"`
	PeerKey         PEMText `json:"peer_key,omitempty"`
	// CallerCA verifies the certificates of callers.
	CallerCA          PEMText `json:"caller_ca,omitempty"`
	CallerCertificate PEMText `json:"caller_certificate,omitempty"`
	CallerKey         PEMText `json:"caller_key,omitempty"`
	// StoreCA verifies an https store. Without it the system's roots do.
	StoreCA PEMText `json:"store_ca,omitempty"`
}

// PEMText is PEM text that formatted output does not show, because a key may be
// given in the wrong field.
type PEMText string

// hidden stands for PEM text in errors and logs.
const hidden = "(not shown)"

// String implements fmt.Stringer.
func (PEMText) String() string {
	return hidden
}

// GoString implements fmt.GoStringer.
func (PEMText) GoString() string {
	return hidden
}

// tlsConfigs are the parsed TLS settings. A nil configuration means plain
// connections.
type tlsConfigs struct {
	peerServer *tls.Config
	peerClient *tls.Config
	caller     *tls.Config
	store      *tls.Config
}

// parseTLS checks the TLS settings and builds the configurations from them.
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

// tlsGroup is one side's CA, certificate and key, with the names of their fields.
type tlsGroup struct {
	prefix      string
	ca          PEMText
	certificate PEMText
	key         PEMText
}

// parse returns nil without an error if the group is left out.
func (g tlsGroup) parse() (*tls.Config, error) {
	if g.ca == "" && g.certificate == "" && g.key == "" {
		return nil, nil
	}
	pool, err := parsePool(g.prefix+"_ca", g.ca)
	if err != nil {
		return nil, err
	}
	if _, err := parsePool(g.prefix+"_certificate", g.certificate); err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair([]byte(g.certificate), []byte(g.key))
	if err != nil {
		return nil, tlsFieldError(g.prefix+"_key", g.key, "the PEM private key of "+g.prefix+"_certificate")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"http/1.1"},
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// Each connection verifies the whole chain again.
		SessionTicketsDisabled: true,
	}, nil
}

// parsePool refuses text of which any part is not a certificate, since
// x509.CertPool skips such parts silently.
func parsePool(field string, text PEMText) (*x509.CertPool, error) {
	problem := tlsFieldError(field, text, "one or more PEM certificates")
	pool := x509.NewCertPool()
	rest := []byte(strings.TrimSpace(string(text)))
	if len(rest) == 0 {
		return nil, problem
	}
	for len(rest) > 0 {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil || block.Type != "CERTIFICATE" {
			return nil, problem
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, problem
		}
		pool.AddCert(certificate)
	}
	return pool, nil
}

func tlsFieldError(field string, text PEMText, allowed string) error {
	value := hidden
	if text == "" {
		value = ""
	}
	return &bulrushchute.FieldError{Field: "tls." + field, Value: value, Allowed: allowed}
}

func (s Settings) parsePeerTLS() (*tls.Config, *tls.Config, error) {
	group := tlsGroup{"peer", s.TLS.PeerCA, s.TLS.PeerCertificate, s.TLS.PeerKey}
	server, err := group.parse()
	if server == nil || err != nil {
		return nil, nil, err
	}
	if err := checkPeerCertificate(server, s.PeerAddress); err != nil {
		return nil, nil, err
	}
	return server, server.Clone(), nil
}

// checkPeerCertificate refuses at the start a certificate that every other
// node would refuse.
func checkPeerCertificate(config *tls.Config, address bulrushchute.Address) error {
	leaf := config.Certificates[0].Leaf
	host, _, err := net.SplitHostPort(string(address))
	if err != nil || leaf.VerifyHostname(host) != nil {
		return tlsFieldError("peer_certificate", hidden, "a certificate that names the IP number of peer_address")
	}
	intermediates := x509.NewCertPool()
	for _, der := range config.Certificates[0].Certificate[1:] {
		certificate, err := x509.ParseCertificate(der)
		if err != nil {
			return tlsFieldError("peer_certificate", hidden, "PEM certificates")
		}
		intermediates.AddCert(certificate)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options := x509.VerifyOptions{Roots: config.RootCAs, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}}
		if _, err := leaf.Verify(options); err != nil {
			return tlsFieldError("peer_certificate", hidden, "a certificate of peer_ca that is valid now, for server and client authentication")
		}
	}
	return nil
}

func (s Settings) parseCallerTLS() (*tls.Config, error) {
	group := tlsGroup{"caller", s.TLS.CallerCA, s.TLS.CallerCertificate, s.TLS.CallerKey}
	config, err := group.parse()
	if config == nil || err != nil {
		return nil, err
	}
	if s.TrustTenantHeader {
		return nil, &bulrushchute.FieldError{Field: "trust_tenant_header", Value: "true", Allowed: "false when tls.caller_ca is set"}
	}
	config.VerifyConnection = requireCommonName
	return config, nil
}

// requireCommonName refuses callers that would all share the empty tenant.
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
