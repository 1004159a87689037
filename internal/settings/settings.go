package settings

import (
	"encoding/base64"
	"fmt"
	"slices"

	"buckthornport.example/buckthornport/internal/jsonc"
)

// Proxy holds the settings that a proxy process needs before it can contact any other process.
type Proxy struct {
	Node             string `json:"node"`
	Zone             string `json:"zone"`
	Listen           string `json:"listen"`
	Status           string `json:"status"`
	Peer             string `json:"peer"`
	Platform         string `json:"platform"`
	Peers            []Peer `json:"peers"`
	BundleFile       string `json:"bundle_file"`
	TokenKey         string `json:"token_key"`
	UpstreamUser     string `json:"upstream_user"`
	UpstreamPassword string `json:"upstream_password"`
	CertificateFile  string `json:"certificate_file"`
	KeyFile          string `json:"key_file"`
	PeerCAFile       string `json:"peer_ca_file"`
	Policy           string `json:"policy"`
	LogLevel         string `json:"log_level"`
	DrainMS          int    `json:"drain_ms"`
}

// Peer is another proxy of the deployment.
type Peer struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Default values of a proxy's settings; DefaultDrainMS is in milliseconds.
const (
	DefaultListen   = "127.0.0.1:6432"
	DefaultStatus   = "127.0.0.1:6480"
	DefaultPolicy   = "ours"
	DefaultLogLevel = "info"
	DefaultDrainMS  = 30_000
)

const minTokenKeyBytes = 16

var logLevels = []string{"debug", "info", "warn", "error"}

// ParseProxy parses and validates the settings of a proxy. Its error lists everything that is wrong with the source.
func ParseProxy(file string, source []byte) (Proxy, error) {
	p := Proxy{
		Listen: DefaultListen, Status: DefaultStatus, Policy: DefaultPolicy, LogLevel: DefaultLogLevel,
		DrainMS: DefaultDrainMS, UpstreamUser: "buckthornport",
	}
	t := jsonc.Decode(file, source, &p)
	checkNames(t, p)
	checkAddresses(t, p)
	checkChoices(t, p)
	checkKeys(t, p)
	return p, t.Err()
}

func checkNames(t *jsonc.Document, p Proxy) {
	for path, v := range map[string]string{"node": p.Node, "zone": p.Zone} {
		if v == "" {
			t.AddError(path, "is missing", "want a name")
		}
	}
	if p.BundleFile == "" && p.Platform == "" && len(p.Peers) == 0 {
		t.AddError("bundle_file", "no source of the bundle is set",
			"want bundle_file, platform or peers")
	}
}

func checkAddresses(t *jsonc.Document, p Proxy) {
	addresses := map[string]string{"listen": p.Listen, "status": p.Status, "peer": p.Peer, "platform": p.Platform}
	for i, v := range p.Peers {
		addresses[fmt.Sprintf("peers[%d].address", i)] = v.Address
	}
	for path, v := range addresses {
		checkAddress(t, path, v, false)
	}
}

func checkChoices(t *jsonc.Document, p Proxy) {
	checkChoice(t, "policy", p.Policy, []string{"ours", "fifo"})
	checkChoice(t, "log_level", p.LogLevel, logLevels)
	if p.DrainMS < 0 {
		t.AddError("drain_ms", "is negative", "want a number of milliseconds")
	}
}

func checkChoice(t *jsonc.Document, path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		t.AddError(path, fmt.Sprintf("%q is unknown", value), fmt.Sprintf("want one of %v", allowed))
	}
}

func checkKeys(t *jsonc.Document, p Proxy) {
	if key, err := base64.StdEncoding.DecodeString(p.TokenKey); err != nil || len(key) < minTokenKeyBytes {
		t.AddError("token_key", "is not a valid key", "want at least 16 random bytes in base64, the same on all proxies")
	}
	if (p.CertificateFile == "") != (p.KeyFile == "") {
		t.AddError("certificate_file", "a certificate and its key must be set together", "set both or neither")
	}
}
