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
)

// authorize looks a caller up in the bundle.
func (n *Node) authorize(user, database string) (pgwire.Credentials, error) {
	c, ok := n.Bundle().Caller(user)
	if !ok {
		return pgwire.Credentials{}, fmt.Errorf("user %q may not connect", user)
	}
	if !slices.Contains(c.Databases, database) {
		return pgwire.Credentials{}, fmt.Errorf("user %q may not use database %q", user, database)
	}
	if c.Secret == "" {
		return pgwire.Credentials{}, nil
	}
	stored, err := ParseSCRAMVerifier(c.Secret)
	return pgwire.Credentials{Stored: &stored}, err
}

// ParseSCRAMVerifier reads PostgreSQL's form of a SCRAM verifier: SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY.
func ParseSCRAMVerifier(s string) (scram.StoredCredentials, error) {
	bad := fmt.Errorf("secret is no SCRAM-SHA-256 verifier")
	parts := strings.Split(s, "$")
	if len(parts) != 3 || parts[0] != "SCRAM-SHA-256" {
		return scram.StoredCredentials{}, bad
	}
	iterations, salt, ok := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	count, err := strconv.Atoi(iterations)
	if !ok || !ok2 || err != nil {
		return scram.StoredCredentials{}, bad
	}
	c := scram.StoredCredentials{KeyFactors: scram.KeyFactors{Iters: count}}
	for _, f := range []struct {
		text string
		into func([]byte)
	}{
		{salt, func(b []byte) { c.Salt = string(b) }},
		{stored, func(b []byte) { c.StoredKey = b }},
		{server, func(b []byte) { c.ServerKey = b }},
	} {
		raw, err := base64.StdEncoding.DecodeString(f.text)
		if err != nil {
			return scram.StoredCredentials{}, bad
		}
		f.into(raw)
	}
	return c, nil
}

// peerTLS has both sides of a peer link show a certificate of the deployment's own authority, read anew each time.
func (n *Node) peerTLS() *tls.Config {
	if n.settings.PeerCAFile == "" {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(n.settings.CertificateFile, n.settings.KeyFile)
	if err != nil {
		n.log.Error("certificate not loaded: " + err.Error())
		return &tls.Config{MinVersion: tls.VersionTLS13}
	}
	ca, err := os.ReadFile(n.settings.PeerCAFile)
	if err != nil {
		n.log.Error("peers' authority not loaded: " + err.Error())
		return &tls.Config{MinVersion: tls.VersionTLS13}
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca)
	return &tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool, MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert, ServerName: peerServerName,
	}
}

// peerServerName is the name that the certificates of all nodes carry.
const peerServerName = "buckthornport-peer"

// tlsOption has the certificate read anew for every handshake, so that it can be replaced without a restart.
func (n *Node) tlsOption() pgwire.ListenerOption {
	return pgwire.WithTLS(func() *tls.Config {
		if n.settings.CertificateFile == "" {
			return nil
		}
		pair, err := tls.LoadX509KeyPair(n.settings.CertificateFile, n.settings.KeyFile)
		if err != nil {
			n.log.Error("certificate not loaded: " + err.Error())
			return nil
		}
		return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	})
}
