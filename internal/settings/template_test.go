package settings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/settings"
)

// renderTemplate fills in the template of the deployment as the platform does, with the given grace period in seconds.
func renderTemplate(c *qt.C, grace string) []byte {
	c.Helper()
	raw, err := os.ReadFile("../../deploy/settings.jsonc")
	c.Assert(err, qt.IsNil)
	return []byte(strings.NewReplacer(
		"{{NodeName|json}}", `"n"`, "{{Zone|json}}", `"a"`, `{{#Zones}} {"name": "{{@}}", "region": "{{.}}" }{{,}}{{/Zones}}`, "",
		"{{Listen.Frontend|json}}", `"127.0.0.1:1"`, "{{Listen.Readiness|json}}", `"127.0.0.1:2"`,
		"{{Listen.Admin|json}}", `"127.0.0.1:3"`, `{{#Seeds}}"{{.}}"{{,}}{{/Seeds}}`, "", "{{Ip}}", "127.0.0.1",
		"{{platform.Addr|json}}", `"127.0.0.1:4"`, "{{CloudApi.Addr|json}}", `"127.0.0.1:5"`,
		"{{#Bounds.QuotaWindowS}}", "", "{{Bounds.QuotaWindowS}}", "5", "{{/Bounds.QuotaWindowS}}", "",
		"{{#Bounds.QuotaOverage}}", "", "{{Bounds.QuotaOverage|json}}", "0.1", "{{/Bounds.QuotaOverage}}", "",
		"{{#Bounds.QuotaSlack}}", "", "{{Bounds.QuotaSlack|json}}", "20", "{{/Bounds.QuotaSlack}}", "",
		"{{Limits.MemoryMb|json}}", "284", "{{Limits.MaxFds|json}}", "4300",
		"{{Limits.CpuQuota|json}}", "0.4", "{{Bounds.GraceS}}", grace).Replace(string(raw)))
}

// TestGracePeriods guards against a program that does not start because the platform's grace period is a fraction (review/5).
func TestGracePeriods(t *testing.T) {
	for grace, want := range map[string]time.Duration{
		"6": 6 * time.Second, "6.5": 6500 * time.Millisecond, "6.0": 6 * time.Second, "0.25": 250 * time.Millisecond,
		"0.0005": 500 * time.Microsecond, "7.2500": 7250 * time.Millisecond,
	} {
		t.Run(grace, func(t *testing.T) {
			c := qt.New(t)
			f, err := settings.ParseFleetNode("settings.jsonc", renderTemplate(c, grace))
			c.Assert(err, qt.IsNil)
			c.Assert(f.Grace(), qt.Equals, want)
		})
	}
}
