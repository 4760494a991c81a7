package bulrushnode

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushwire"
)

// testCA is a certificate authority for one test.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         PEMText
}

type testCertificate struct {
	certificate PEMText
	key         PEMText
}

func newTestCA(t testing.TB) *testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := testTemplate("test CA", time.Hour)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &testCA{certificate: certificate, key: key, pem: pemText("CERTIFICATE", der)}
}

func testTemplate(name string, validity time.Duration) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-2 * time.Hour),
		NotAfter:     time.Now().Add(validity),
	}
}

func pemText(kind string, der []byte) PEMText {
	return PEMText(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

func (ca *testCA) issue(t testing.TB, name, address string, validity time.Duration) testCertificate {
	template := testTemplate(name, validity)
	template.IPAddresses = []net.IP{net.ParseIP(address)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, key.Public(), ca.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	return testCertificate{pemText("CERTIFICATE", der), pemText("PRIVATE KEY", keyDER)}
}

// clientConfig returns a configuration that trusts the CA and presents a
// certificate unless it is empty.
func (ca *testCA) clientConfig(t testing.TB, own testCertificate) *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(ca.certificate)
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}
	if own.certificate != "" {
		pair, err := tls.X509KeyPair([]byte(own.certificate), []byte(own.key))
		assert.NilError(t, err)
		// A certificate in the Certificates field is not sent if it does not match
		// the server's list of CAs. This function always sends it, so that the
		// server has to refuse it.
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	}
	return config
}

func peerSettings(ca *testCA, own testCertificate) Settings {
	return Settings{PeerAddress: "127.0.0.1:7001", TLS: TLSSettings{PeerCA: ca.pem, PeerCertificate: own.certificate, PeerKey: own.key}}
}

// echoNode answers every attempt with its body.
type echoNode struct{}

func (echoNode) HandleAttempt(_ context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
	answer := bulrushwire.AddChecksum(bulrushchute.Answer{Status: http.StatusOK, Body: attempt.Body})
	return bulrushchute.Reply{Answer: &answer}
}

func (echoNode) HandleControl(bulrushchute.Address, bulrushchute.Control) {}

// serveOn serves a handler as Run does and writes the messages about refused
// connections to refusals.
func serveOn(t *testing.T, config *tls.Config, handler http.Handler, refusals io.Writer) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(handler)
	assert.NilError(t, server.Listener.Close())
	server.Listener = withTLS(listener, config)
	server.Config.ErrorLog = newConnRefusalLog(bulrushchute.NewManualClock(0), "").logger()
	server.Config.ErrorLog.SetOutput(refusals)
	server.Start()
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

// messageWriter is a channel that receives the messages written to it.
type messageWriter chan string

func (w messageWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}

func servePeers(t *testing.T, config *tls.Config) (bulrushchute.Address, messageWriter) {
	ctx, cancel := context.WithCancel(context.Background())
	refusals := make(messageWriter, 16)
	server := bulrushwire.NewServer(ctx, echoNode{})
	server.OnRejected = func(_, reason string) { refusals <- reason }
	address := serveOn(t, config, server, refusals)
	t.Cleanup(cancel)
	return bulrushchute.Address(address), refusals
}

// Guards against accepting a peer without a valid certificate for the address
// that it states, and against refusals that operators cannot see.
func TestPeerTLS(t *testing.T) {
	trusted, untrusted := newTestCA(t), newTestCA(t)
	valid := trusted.issue(t, "node", "127.0.0.1", time.Hour)
	expired := trusted.issue(t, "node", "127.0.0.1", -time.Hour)
	otherIP := trusted.issue(t, "node", "127.0.0.2", time.Hour)
	server, client, err := peerSettings(trusted, valid).parsePeerTLS()
	assert.NilError(t, err)
	presenting := func(ca *testCA, certificate testCertificate) *tls.Config { return ca.clientConfig(t, certificate) }
	tls12Client := presenting(trusted, valid)
	tls12Client.MinVersion, tls12Client.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	const ownAddress = "127.0.0.1:7001"
	cases := map[string]struct {
		server *tls.Config
		client *tls.Config
		self   bulrushchute.Address
		// want is a substring of what the accepting node reports.
		want string
		// wantDialer is a substring of what the dialling node reports.
		wantDialer string
	}{
		"good":                       {server, client, ownAddress, "", ""},
		"no certificate":             {server, presenting(trusted, testCertificate{}), ownAddress, "didn't provide a certificate", ""},
		"other CA":                   {server, presenting(trusted, untrusted.issue(t, "node", "127.0.0.1", time.Hour)), ownAddress, "unknown authority", ""},
		"expired":                    {server, presenting(trusted, expired), ownAddress, "expired", ""},
		"wrong IP":                   {server, presenting(trusted, otherIP), ownAddress, "not an IP number of the client certificate", "403"},
		"states another node":        {server, client, "127.0.0.2:7001", "not an IP number of the client certificate", "403"},
		"TLS 1.2":                    {server, tls12Client, ownAddress, "unsupported versions", "protocol version"},
		"plain ws to a TLS listener": {server, nil, ownAddress, "HTTP request to an HTTPS server", "400"},
		"TLS to a plain listener":    {nil, client, ownAddress, "", "HTTP response to HTTPS client"},
		"accepting node of other CA": {server, presenting(untrusted, valid), ownAddress, "bad certificate", "unknown authority"},
		"accepting node of wrong IP": {withCertificate(t, server, otherIP), client, ownAddress, "bad certificate", "127.0.0.1"},
		"accepting node is expired":  {withCertificate(t, server, expired), client, ownAddress, "", "expired"},
		"IPv4 address in IPv6 form":  {server, client, "[::ffff:127.0.0.1]:7001", "", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address, refusals := servePeers(t, tc.server)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			dialer := bulrushwire.NewClient(ctx, tc.self, tc.client)
			dialed := make(messageWriter, 16)
			dialer.OnRejected = func(_, reason string) { dialed <- reason }
			reply, err := dialer.Exchange(ctx, address, bulrushchute.Attempt{Service: "board", Method: "GET", Body: []byte("x")})
			if tc.want == "" && tc.wantDialer == "" {
				assert.NilError(t, err)
				assert.Equal(t, string(reply.Answer.Body), "x")
				return
			}
			var notSent *bulrushchute.NotSentError
			assert.Assert(t, errors.As(err, &notSent), "got %v", err)
			if tc.want != "" {
				assert.Assert(t, is.Contains(<-refusals, tc.want))
			}
			if tc.wantDialer != "" {
				assert.Assert(t, is.Contains(<-dialed, tc.wantDialer))
			}
		})
	}
}

func withCertificate(t *testing.T, config *tls.Config, certificate testCertificate) *tls.Config {
	pair, err := tls.X509KeyPair([]byte(certificate.certificate), []byte(certificate.key))
	assert.NilError(t, err)
	changed := config.Clone()
	changed.Certificates = []tls.Certificate{pair}
	return changed
}

// Guards against callers that choose their own tenant.
func TestCallerTLS(t *testing.T) {
	trusted, untrusted := newTestCA(t), newTestCA(t)
	own := trusted.issue(t, "entry", "127.0.0.1", time.Hour)
	settings := Settings{TLS: TLSSettings{CallerCA: trusted.pem, CallerCertificate: own.certificate, CallerKey: own.key}}
	config, err := settings.parseCallerTLS()
	assert.NilError(t, err)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = fmt.Fprintf(writer, "%s %s", (&entryHandler{}).tenantOf(callerIdentity{}, request), request.Proto)
	})
	refusals := make(messageWriter, 16)
	address := serveOn(t, config, handler, refusals)
	payouts := trusted.issue(t, "payouts", "127.0.0.9", time.Hour)
	cases := map[string]struct {
		client testCertificate
		header string
		want   string
		// wantRefusal is a substring of what the node reports.
		wantRefusal string
	}{
		"tenant from certificate":    {payouts, "", "payouts HTTP/1.1", ""},
		"forged Bulrush-Tenant":      {payouts, "inventory", "payouts HTTP/1.1", ""},
		"no certificate":             {testCertificate{}, "payouts", "", "didn't provide a certificate"},
		"other CA":                   {untrusted.issue(t, "payouts", "127.0.0.9", time.Hour), "", "", "unknown authority"},
		"expired":                    {trusted.issue(t, "payouts", "127.0.0.9", -time.Hour), "", "", "expired"},
		"certificate without a name": {trusted.issue(t, "", "127.0.0.9", time.Hour), "", "", "no CommonName"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			transport := &http.Transport{TLSClientConfig: trusted.clientConfig(t, tc.client), ForceAttemptHTTP2: true}
			defer transport.CloseIdleConnections()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+address, nil)
			assert.NilError(t, err)
			request.Header.Set(headerTenant, tc.header)
			response, err := transport.RoundTrip(request)
			if tc.wantRefusal != "" {
				assert.Assert(t, err != nil)
				assert.Assert(t, is.Contains(<-refusals, tc.wantRefusal))
				return
			}
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, string(body), tc.want)
		})
	}
}

// Guards against accepting incomplete TLS settings, and against errors that do
// not name the field or that contain a key.
func TestTLSSettings(t *testing.T) {
	ca := newTestCA(t)
	own := ca.issue(t, "node", "10.0.0.1", time.Hour)
	other := ca.issue(t, "node", "10.0.0.2", time.Hour)
	expired := ca.issue(t, "node", "10.0.0.1", -time.Hour)
	cases := map[string]struct {
		tls       TLSSettings
		extra     string
		wantField string
	}{
		"none":               {TLSSettings{}, "", ""},
		"peer":               {TLSSettings{PeerCA: ca.pem, PeerCertificate: own.certificate, PeerKey: own.key}, "", ""},
		"caller":             {TLSSettings{CallerCA: ca.pem + ca.pem, CallerCertificate: other.certificate, CallerKey: other.key}, "", ""},
		"store":              {TLSSettings{StoreCA: ca.pem}, `,"store_url":"https://10.0.0.9"`, ""},
		"no peer CA":         {TLSSettings{PeerCertificate: own.certificate, PeerKey: own.key}, "", "tls.peer_ca"},
		"no certificate":     {TLSSettings{PeerCA: ca.pem, PeerKey: own.key}, "", "tls.peer_certificate"},
		"no key":             {TLSSettings{PeerCA: ca.pem, PeerCertificate: own.certificate}, "", "tls.peer_key"},
		"key of another":     {TLSSettings{PeerCA: ca.pem, PeerCertificate: own.certificate, PeerKey: other.key}, "", "tls.peer_key"},
		"key as CA":          {TLSSettings{CallerCA: own.key, CallerCertificate: own.certificate, CallerKey: own.key}, "", "tls.caller_ca"},
		"text after CA":      {TLSSettings{CallerCA: ca.pem + "x", CallerCertificate: own.certificate, CallerKey: own.key}, "", "tls.caller_ca"},
		"other address":      {TLSSettings{PeerCA: ca.pem, PeerCertificate: other.certificate, PeerKey: other.key}, "", "tls.peer_certificate"},
		"expired":            {TLSSettings{PeerCA: ca.pem, PeerCertificate: expired.certificate, PeerKey: expired.key}, "", "tls.peer_certificate"},
		"not of the peer CA": {TLSSettings{PeerCA: newTestCA(t).pem, PeerCertificate: own.certificate, PeerKey: own.key}, "", "tls.peer_certificate"},
		"trusted header":     {TLSSettings{CallerCA: ca.pem, CallerCertificate: own.certificate, CallerKey: own.key}, `,"trust_tenant_header":true`, "trust_tenant_header"},
		"plain store":        {TLSSettings{StoreCA: ca.pem}, "", "tls.store_ca"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			text, err := json.Marshal(tc.tls)
			assert.NilError(t, err)
			settings, err := ParseSettings([]byte(validSettingsPrefix + tc.extra + `,"tls":` + string(text) + `}`))
			printed := fmt.Sprintf("%v %+v %#v %v", settings, settings, settings, err)
			assert.Assert(t, !strings.Contains(printed, "PRIVATE KEY"), "a key is printed")
			if tc.wantField == "" {
				assert.NilError(t, err)
				return
			}
			var field *bulrushchute.FieldError
			assert.Assert(t, errors.As(err, &field), "got %v", err)
			assert.Equal(t, field.Field, tc.wantField)
		})
	}
}

// Guards against a log that anyone who can reach a listener can fill.
func TestRefusalLogIsBounded(t *testing.T) {
	clock := bulrushchute.NewManualClock(1_000_000)
	refusals := newConnRefusalLog(clock, "peers")
	logged := 0
	for range 1000 {
		if _, allowed := refusals.allow(); allowed {
			logged++
		}
	}
	assert.Equal(t, logged, connRefusalLogBurst)
	clock.Advance(bulrushchute.Second)
	suppressed, allowed := refusals.allow()
	assert.Assert(t, allowed)
	assert.Equal(t, suppressed, 1000-connRefusalLogBurst)
}
