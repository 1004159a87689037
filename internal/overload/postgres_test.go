package overload

import (
	"context"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/binary"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"buckthornport.example/buckthornport/internal/standin/group"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// postgresMemoryMB is the memory of a proxy in front of PostgreSQL. The SQL grammar takes a part of it.
const postgresMemoryMB = 96

// postgres is a proxy in front of a group of PostgreSQL stand-ins.
type postgres struct {
	*process
	listen, status string
}

func startPostgres(c *qt.C) *postgres {
	c.Helper()
	public, _, err := ed25519.GenerateKey(rand.Reader)
	c.Assert(err, qt.IsNil)
	g := group.Settings{
		Name: "ledger", Connections: 30, SlotsPerServer: 5, ConnectMS: 1, ReceiveMS: 1, LagMS: 20, Engine: group.EngineSQLite,
		Admin: freeAddress(c),
	}
	b := bundle.Bundle{
		Deployment: "test", Version: 1, Callers: []bundle.Caller{{User: "demo", Databases: []string{"ledger"}}},
		Zones: bundle.Zones{{Name: "a", Region: "r"}}, SignaturesNeeded: 1,
		Keys: []bundle.Key{{Name: "amina", Public: base64.StdEncoding.EncodeToString(public)}},
	}
	served := bundle.Group{Name: "ledger", Connections: 30, SlotsPerServer: 5}
	for i := range 3 {
		v := group.ServerSettings{Name: fmt.Sprintf("s%d", i), Address: freeAddress(c)}
		g.Servers = append(g.Servers, v)
		served.Servers = append(served.Servers, bundle.Server{Name: v.Name, Zone: "a", Address: v.Address})
	}
	startProcess(c, "group", "buckthornport", "standin", "group", "--settings", writeJSON(c, g))
	p := &postgres{listen: freeAddress(c), status: freeAddress(c)}
	certificate, key := writeCertificate(c)
	p.process = startProcess(c, "proxy", "buckthornport", "proxy", "--settings", writeJSON(c, map[string]any{
		"node": "n0", "zone": "a", "listen": p.listen, "status": p.status, "bundle_file": writeJSON(c, b.WithGroup(served)),
		"token_key":        base64.StdEncoding.EncodeToString([]byte("0123456789abcdef")),
		"certificate_file": certificate, "key_file": key, "upstream_user": "app", "memory_mb": postgresMemoryMB, "max_fds": maxFDs,
	}))
	waitUntil(c, "a first answer", func() bool { return p.tryOrdinary() == nil })
	return p
}

// writeCertificate writes a certificate of its own authority and its key, and returns the names of the files.
func writeCertificate(c *qt.C) (certificate, key string) {
	c.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	t := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{"localhost"}}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &k.PublicKey, k)
	c.Assert(err, qt.IsNil)
	raw, err := x509.MarshalECPrivateKey(k)
	c.Assert(err, qt.IsNil)
	dir := c.TempDir()
	certificate, key = filepath.Join(dir, "certificate.pem"), filepath.Join(dir, "key.pem")
	for name, b := range map[string]*pem.Block{
		certificate: {Type: "CERTIFICATE", Bytes: der}, key: {Type: "EC PRIVATE KEY", Bytes: raw},
	} {
		c.Assert(os.WriteFile(name, pem.EncodeToMemory(b), 0o600), qt.IsNil)
	}
	return certificate, key
}

func (p *postgres) connect(ctx context.Context) (*pgx.Conn, error) {
	host, port, err := net.SplitHostPort(p.listen)
	if err != nil {
		return nil, err
	}
	return pgx.Connect(ctx, fmt.Sprintf("host=%s port=%s user=demo dbname=ledger sslmode=disable", host, port))
}

func (p *postgres) tryOrdinary() error {
	ctx, stop := context.WithTimeout(context.Background(), answerTimeout)
	defer stop()
	conn, err := p.connect(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "select 1")
	return err
}

func (p *postgres) assertServes() {
	p.c.Helper()
	var err error
	for range attempts {
		if err = p.tryOrdinary(); err == nil {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	p.c.Check(err, qt.IsNil)
	p.assertBounds(postgresMemoryMB)
}

// crowdSessions opens up to n sessions, which stay open until the test ends, and runs f for all at once.
func (p *postgres) crowdSessions(n int, f func(conn net.Conn)) {
	p.c.Helper()
	crowd(n, func(int) {
		ctx, stop := context.WithTimeout(context.Background(), answerTimeout)
		defer stop()
		pg, err := p.connect(ctx)
		if err != nil {
			return
		}
		h, err := pg.PgConn().Hijack()
		if err != nil {
			return
		}
		_ = h.Conn.(*net.TCPConn).SetReadBuffer(16 << 10)
		p.c.Cleanup(func() { _ = h.Conn.Close() })
		f(h.Conn)
	})
}

// header returns the header of a message whose body has n bytes.
func header(kind byte, n int) string {
	return string(binary.BigEndian.AppendUint32([]byte{kind}, uint32(n+4)))
}

// query returns a simple query.
func query(sql string) string {
	return header('Q', len(sql)+1) + sql + "\x00"
}

// TestPostgresAnnouncedMessages guards against memory that is taken for messages which are announced and do not arrive.
func TestPostgresAnnouncedMessages(t *testing.T) {
	p := startPostgres(qt.New(t))
	p.crowdSessions(50, func(conn net.Conn) { _ = send(conn, header('Q', 16_000_000)+"select", 1<<20) })
	time.Sleep(500 * time.Millisecond)
	p.assertServes()
}

// TestPostgresLargeMessages guards against memory that grows with the number of large messages which arrive at once.
func TestPostgresLargeMessages(t *testing.T) {
	p := startPostgres(qt.New(t))
	p.crowdSessions(150, func(conn net.Conn) { _ = send(conn, header('Q', largeBytes+100)+"select '"+large, 10_000) })
	p.assertServes()
}

// TestPostgresPreparedStatements guards against a session that keeps as many large prepared statements as it likes.
func TestPostgresPreparedStatements(t *testing.T) {
	p := startPostgres(qt.New(t))
	sql := "select '" + large[:400_000] + "'\x00\x00\x00"
	p.crowdSessions(10, func(conn net.Conn) {
		for i := range 40 {
			name := fmt.Sprintf("p%d\x00", i)
			if send(conn, header('P', len(name)+len(sql))+name+sql+header('S', 0), 1<<20) != nil {
				return
			}
		}
	})
	time.Sleep(time.Second)
	p.assertServes()
}

// TestPostgresSlowReaders guards against server connections that wait for callers which send messages ahead and read no answer.
func TestPostgresSlowReaders(t *testing.T) {
	p := startPostgres(qt.New(t))
	p.crowdSessions(60, func(conn net.Conn) { _ = send(conn, strings.Repeat(query("select hex(zeroblob(500000))"), 100), 1<<20) })
	time.Sleep(time.Second)
	p.assertServes()
}

// TestPostgresSlowStreams guards against server connections that are held by callers which read an answer of many rows slowly.
func TestPostgresSlowStreams(t *testing.T) {
	p := startPostgres(qt.New(t))
	sql := "with recursive t(x) as (select 1 union all select x + 1 from t where x < 4000) select hex(zeroblob(4000)) from t"
	stop := make(chan struct{})
	var readers sync.WaitGroup
	p.crowdSessions(60, func(conn net.Conn) {
		_ = send(conn, strings.Repeat(query(sql), 3), 1<<20)
		readers.Go(func() {
			for b := make([]byte, 64<<10); ; {
				select {
				case <-stop:
					return
				case <-time.After(2 * time.Second):
				}
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				if _, err := conn.Read(b); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
					return
				}
			}
		})
	})
	time.Sleep(2 * time.Second)
	p.assertServes()
	close(stop)
	readers.Wait()
}

// TestPostgresUnfinishedStartups guards against descriptors that are used up by callers which never finish their startup message.
func TestPostgresUnfinishedStartups(t *testing.T) {
	p := startPostgres(qt.New(t))
	crowdOf(p.c, crowdConns, p.listen, "\x00\x00\x00\x40\x00\x03\x00\x00user")
	p.assertServes()
}

// TestPostgresUnfinishedHandshakes guards against descriptors that are used up by callers which never finish a TLS handshake.
func TestPostgresUnfinishedHandshakes(t *testing.T) {
	p := startPostgres(qt.New(t))
	hello := string([]byte{0, 0, 0, 8, 4, 210, 22, 47, 22, byte(tls.VersionTLS12 >> 8), 1, 2, 0, 1, 0})
	crowdOf(p.c, crowdConns, p.listen, hello)
	p.assertServes()
}

// TestPostgresStatusConnections guards against descriptors that are used up by connections to the status address.
func TestPostgresStatusConnections(t *testing.T) {
	p := startPostgres(qt.New(t))
	crowdOf(p.c, crowdConns, p.status, "GET /status HTTP/1.1\r\nHost: x\r\nX-A: ")
	p.assertServes()
	waitUntil(p.c, "the status address", func() bool { return httpOK(p.status, "/status") })
}
