package proxy

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"

	"buckthornport.example/buckthornport/internal/pgwire"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// authorize returns the credentials of a caller from the active bundle, or an error if the caller may not use the database.
func (n *Node) authorize(user, database string) (pgwire.Credentials, error) {
	c, err := n.permittedCaller(user, database)
	if err != nil || c.Secret == "" {
		return pgwire.Credentials{}, err
	}
	stored, err := ParseSCRAMVerifier(c.Secret)
	return pgwire.Credentials{Stored: &stored}, err
}

// permittedCaller returns a user of the active bundle, or an error if the user may not use the database.
func (n *Node) permittedCaller(user, database string) (bundle.Caller, error) {
	c, ok := n.Bundle().Caller(user)
	switch {
	case !ok:
		return bundle.Caller{}, fmt.Errorf("user %q may not connect", user)
	case !slices.Contains(c.Databases, database):
		return bundle.Caller{}, fmt.Errorf("user %q may not use database %q", user, database)
	}
	return c, nil
}

// ParseSCRAMVerifier parses a SCRAM verifier in PostgreSQL's format: SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY, where salt
// and keys are base64. Its error does not contain the verifier.
func ParseSCRAMVerifier(s string) (scram.StoredCredentials, error) {
	errFormat := fmt.Errorf("secret is no SCRAM-SHA-256 verifier")
	parts := strings.Split(s, "$")
	if len(parts) != 3 || parts[0] != "SCRAM-SHA-256" {
		return scram.StoredCredentials{}, errFormat
	}
	iterations, salt, ok := strings.Cut(parts[1], ":")
	storedKey, serverKey, ok2 := strings.Cut(parts[2], ":")
	count, err := strconv.Atoi(iterations)
	if !ok || !ok2 || err != nil {
		return scram.StoredCredentials{}, errFormat
	}
	c := scram.StoredCredentials{KeyFactors: scram.KeyFactors{Iters: count}}
	for _, f := range []struct {
		text string
		into func([]byte)
	}{
		{salt, func(b []byte) { c.Salt = string(b) }},
		{storedKey, func(b []byte) { c.StoredKey = b }},
		{serverKey, func(b []byte) { c.ServerKey = b }},
	} {
		raw, err := base64.StdEncoding.DecodeString(f.text)
		if err != nil {
			return scram.StoredCredentials{}, errFormat
		}
		f.into(raw)
	}
	return c, nil
}

// peerTLS returns the TLS configuration of peer links, or nil if TLS is not configured. Both ends must present a certificate of the
// deployment's certificate authority. The files are read on every call, so that they can be replaced without a restart. If a file
// cannot be read, the configuration has no certificate, and handshakes fail.
func (n *Node) peerTLS() *tls.Config {
	if n.settings.PeerCAFile == "" {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(n.settings.CertificateFile, n.settings.KeyFile)
	if err != nil {
		n.log.Error("cannot load certificate: " + err.Error())
		return &tls.Config{MinVersion: tls.VersionTLS13}
	}
	ca, err := os.ReadFile(n.settings.PeerCAFile)
	if err != nil {
		n.log.Error("cannot load certificate authority of peers: " + err.Error())
		return &tls.Config{MinVersion: tls.VersionTLS13}
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca)
	return &tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool, MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert, ServerName: peerServerName,
	}
}

// peerServerName is the host name in the certificates of all nodes.
const peerServerName = "buckthornport-peer"

// checkCertificates returns an error if a file of the TLS settings can't be read or used. A node that served without TLS instead
// would take passwords in clear text.
func (n *Node) checkCertificates() error {
	if n.settings.CertificateFile == "" && n.settings.PeerCAFile == "" {
		return nil
	}
	if _, err := tls.LoadX509KeyPair(n.settings.CertificateFile, n.settings.KeyFile); err != nil {
		return fmt.Errorf("certificate_file: %w", err)
	}
	if n.settings.PeerCAFile == "" {
		return nil
	}
	ca, err := os.ReadFile(n.settings.PeerCAFile)
	if err != nil {
		return fmt.Errorf("peer_ca_file: %w", err)
	}
	if !x509.NewCertPool().AppendCertsFromPEM(ca) {
		return fmt.Errorf("peer_ca_file: %s holds no certificate", n.settings.PeerCAFile)
	}
	return nil
}

// withTLS returns the option that serves TLS to callers. The certificate is read for every handshake, so that it can be replaced
// without a restart. If it can't be read any more, handshakes fail.
func (n *Node) withTLS() pgwire.ListenerOption {
	return pgwire.WithTLS(func() *tls.Config {
		if n.settings.CertificateFile == "" {
			return nil
		}
		pair, err := tls.LoadX509KeyPair(n.settings.CertificateFile, n.settings.KeyFile)
		if err != nil {
			n.log.Error("cannot load certificate: " + err.Error())
			return &tls.Config{MinVersion: tls.VersionTLS12}
		}
		return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	})
}
