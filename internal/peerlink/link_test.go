package peerlink

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protodelim"

	"buckthornport.example/buckthornport/internal/peer"
)

const serverName = "buckthornport-peer"

// authority signs the certificates of one deployment.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority(c *qt.C) *authority {
	c.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	a := &authority{cert: cert, key: key, pool: x509.NewCertPool()}
	a.pool.AddCert(cert)
	return a
}

// config returns the TLS configuration of a node with a certificate from a, which trusts the authority trusted.
func (a *authority) config(c *qt.C, trusted *authority) *tls.Config {
	c.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	t := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{serverName}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	c.Assert(err, qt.IsNil)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, RootCAs: trusted.pool,
		ClientCAs: trusted.pool, ClientAuth: tls.RequireAndVerifyClientCert, ServerName: serverName, MinVersion: tls.VersionTLS13,
	}
}

// listen starts a link and returns its address, the link and the messages that it receives.
func listen(c *qt.C, cfg *tls.Config) (string, *Link, chan peer.Message) {
	c.Helper()
	received := make(chan peer.Message, 16)
	l, err := New(func(m peer.Message) { received <- m }, WithTLS(func() *tls.Config { return cfg }))
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- l.Serve(listener) }()
	c.Cleanup(func() {
		c.Check(listener.Close(), qt.IsNil)
		l.Close()
		c.Check(<-done, qt.IsNil)
	})
	return listener.Addr().String(), l, received
}

var gossip = peer.Message{
	Kind: peer.KindGossip, From: "n0", Seq: 7, Version: 3, Digest: 1 << 63, Members: 5, All: true, Bundle: []byte("b"),
	Updates: []peer.Update{{Name: "n1", Zone: "z", Address: "127.0.0.1:1", Incarnation: 9, State: peer.StateLeaving}},
	Routes:  []peer.Route{{Group: "g", Term: 4, Primary: "s1"}},
}

func TestLink(t *testing.T) {
	t.Run("messages arrive unchanged", func(t *testing.T) {
		c := qt.New(t)
		address, _, received := listen(c, nil)
		_, from, _ := listen(c, nil)
		from.Send(peer.Send{Address: address, Message: gossip})
		c.Assert(<-received, qt.DeepEquals, gossip)
	})
	t.Run("nodes with certificates of the same authority can communicate", func(t *testing.T) {
		c := qt.New(t)
		a := newAuthority(c)
		address, _, received := listen(c, a.config(c, a))
		_, from, _ := listen(c, a.config(c, a))
		from.Send(peer.Send{Address: address, Message: gossip})
		c.Assert(<-received, qt.DeepEquals, gossip)
	})
	t.Run("a node with a certificate of another authority is rejected", func(t *testing.T) {
		c := qt.New(t)
		a, b := newAuthority(c), newAuthority(c)
		address, _, received := listen(c, a.config(c, a))
		_, untrusted, _ := listen(c, b.config(c, a))
		untrusted.Send(peer.Send{Address: address, Message: gossip})
		_, trusted, _ := listen(c, a.config(c, a))
		last := gossip
		last.Seq = 8
		trusted.Send(peer.Send{Address: address, Message: last})
		c.Assert((<-received).Seq, qt.Equals, uint64(8))
	})
	t.Run("malformed data closes only its own connection", func(t *testing.T) {
		c := qt.New(t)
		address, _, received := listen(c, nil)
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		_, err = conn.Write(bytes.Repeat([]byte{0xff}, 64))
		c.Assert(err, qt.IsNil)
		_, err = conn.Read(make([]byte, 1))
		c.Assert(err, qt.IsNotNil)
		_, from, _ := listen(c, nil)
		from.Send(peer.Send{Address: address, Message: gossip})
		c.Assert(<-received, qt.DeepEquals, gossip)
	})
}

func FuzzReadMessage(f *testing.F) {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, encode(gossip)); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Fuzz(func(t *testing.T, text []byte) {
		var p Message
		if err := readMessage(bytes.NewReader(text), &p); err != nil {
			return
		}
		m := decode(&p)
		if m.Kind > peer.KindGossip {
			t.Fatalf("decoded unknown message kind %d, want at most %d", m.Kind, peer.KindGossip)
		}
		for _, u := range m.Updates {
			_ = u.State.String()
		}
	})
}
