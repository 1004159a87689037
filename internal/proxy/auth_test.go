package proxy_test

import (
	"context"
	"encoding/base64"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/proxy"
	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// TestUnreadableCertificates guards against a node that serves without TLS because it can't read its certificate.
func TestUnreadableCertificates(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.pem")
	qt.Assert(t, os.WriteFile(broken, []byte("-----BEGIN CERTIFICATE-----\n"), 0o600), qt.IsNil)
	for _, k := range []struct {
		name   string
		change func(s *settings.Proxy)
	}{
		{"a certificate that is missing", func(s *settings.Proxy) { s.CertificateFile, s.KeyFile = broken+".none", broken }},
		{"a certificate that is cut off", func(s *settings.Proxy) { s.CertificateFile, s.KeyFile = broken, broken }},
		{"an authority of peers without a certificate", func(s *settings.Proxy) { s.PeerCAFile = broken }},
	} {
		t.Run(k.name+" stops the start", func(t *testing.T) {
			c := qt.New(t)
			s := settings.Proxy{
				Node: "n", Zone: "a", Listen: "127.0.0.1:0", TokenKey: base64.StdEncoding.EncodeToString([]byte("0123456789abcdef")),
			}
			k.change(&s)
			_, err := proxy.New(context.Background(), s, bundle.Bundle{})
			c.Assert(err, qt.ErrorMatches, "(?s).*certificate_file: .*")
		})
	}
}
