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
	// MemoryMB and MaxFDs bound what callers can make the process use.
	MemoryMB int `json:"memory_mb"`
	MaxFDs   int `json:"max_fds"`
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

// ParseProxy parses and validates the settings of a proxy. Its error is a jsonc.ErrorList.
func ParseProxy(file string, source []byte) (Proxy, error) {
	p := Proxy{
		Listen: DefaultListen, Status: DefaultStatus, Policy: DefaultPolicy, LogLevel: DefaultLogLevel,
		DrainMS: DefaultDrainMS, UpstreamUser: "buckthornport",
	}
	d := jsonc.Decode(file, source, &p)
	checkNames(d, p)
	checkAddresses(d, p)
	checkChoices(d, p)
	checkKeys(d, p)
	checkResources(d, p.MemoryMB, p.MaxFDs)
	return p, d.Err()
}

func checkNames(d *jsonc.Document, p Proxy) {
	for path, v := range map[string]string{"node": p.Node, "zone": p.Zone} {
		if v == "" {
			d.AddError(path, "is missing", "want a name")
		}
	}
	if p.BundleFile == "" && p.Platform == "" && len(p.Peers) == 0 {
		d.AddError("bundle_file", "no source of the bundle is set",
			"want bundle_file, platform or peers")
	}
}

func checkAddresses(d *jsonc.Document, p Proxy) {
	addresses := map[string]string{"listen": p.Listen, "status": p.Status, "peer": p.Peer, "platform": p.Platform}
	for i, v := range p.Peers {
		addresses[fmt.Sprintf("peers[%d].address", i)] = v.Address
	}
	for path, v := range addresses {
		checkAddress(d, path, v, false)
	}
}

func checkChoices(d *jsonc.Document, p Proxy) {
	checkChoice(d, "policy", p.Policy, []string{"ours", "fifo"})
	checkChoice(d, "log_level", p.LogLevel, logLevels)
	if p.DrainMS < 0 {
		d.AddError("drain_ms", "is negative", "want a number of milliseconds")
	}
}

func checkChoice(d *jsonc.Document, path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		d.AddError(path, fmt.Sprintf("%q is unknown", value), fmt.Sprintf("want one of %v", allowed))
	}
}

func checkKeys(d *jsonc.Document, p Proxy) {
	if key, err := base64.StdEncoding.DecodeString(p.TokenKey); err != nil || len(key) < minTokenKeyBytes {
		d.AddError("token_key", "is not a valid key", "want at least 16 random bytes in base64, the same on all proxies")
	}
	if (p.CertificateFile == "") != (p.KeyFile == "") {
		d.AddError("certificate_file", "a certificate and its key must be set together", "set both or neither")
	}
}
