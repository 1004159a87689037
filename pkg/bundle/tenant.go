package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
)

// Tenant is a customer of a deployment. It is an immutable value.
type Tenant struct {
	Name string `json:"name"`
	// Keys are the digests of the keys that identify the tenant's callers.
	Keys []KeyDigest `json:"keys,omitempty"`
	// Rate, in operations per second, and Burst limit the operations of the tenant over all nodes: at most Rate*s + Burst run in any
	// s seconds. A zero Rate means that there is no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// KeyDigest is the SHA-256 digest of a tenant's key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// MarshalText implements encoding.TextMarshaler in hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(d[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error unless text is 64 hexadecimal digits.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(d) {
		return fmt.Errorf("a key's digest has %d hexadecimal digits", 2*len(d))
	}
	copy(d[:], raw)
	return nil
}

// Limited reports whether the tenant's operations are limited.
func (t Tenant) Limited() bool {
	return t.Rate > 0
}

// Tenant returns the named tenant, and whether there is one.
func (b Bundle) Tenant(name string) (Tenant, bool) {
	i := slices.IndexFunc(b.Tenants, func(t Tenant) bool { return t.Name == name })
	if i < 0 {
		return Tenant{}, false
	}
	return b.Tenants[i], true
}

// TenantKeys returns the tenants' names by the digests of their keys.
func (b Bundle) TenantKeys() map[KeyDigest]string {
	keys := make(map[KeyDigest]string, len(b.Tenants))
	for _, t := range b.Tenants {
		for _, k := range t.Keys {
			keys[k] = t.Name
		}
	}
	return keys
}

// TenantChecker collects what is wrong with a list of tenants.
type TenantChecker struct {
	names map[string]bool
	keys  map[KeyDigest]string
}

// NewTenantChecker returns a checker that has seen no tenant.
func NewTenantChecker() *TenantChecker {
	return &TenantChecker{names: map[string]bool{}, keys: map[KeyDigest]string{}}
}

// Check returns the mistake in a tenant as the path of the field and what is wrong, or "" if there is none. A tenant without a
// mistake counts when later ones are checked.
func (c *TenantChecker) Check(t Tenant) (field, mistake string) {
	switch {
	case t.Name == "":
		return "name", "is missing"
	case c.names[t.Name]:
		return "name", fmt.Sprintf("%q is used twice", t.Name)
	case !validAmount(t.Rate):
		return "rate", fmt.Sprintf("%v is no number of operations per second", t.Rate)
	case !validAmount(t.Burst):
		return "burst", fmt.Sprintf("%v is no number of operations", t.Burst)
	}
	for i, k := range t.Keys {
		if other, used := c.keys[k]; used {
			return fmt.Sprintf("keys[%d]", i), fmt.Sprintf("belongs to tenant %q as well", other)
		}
	}
	c.names[t.Name] = true
	for _, k := range t.Keys {
		c.keys[k] = t.Name
	}
	return "", ""
}

// maxAmount is above any limit of a tenant, and keeps sums of limits exact.
const maxAmount = 1e12

func validAmount(v float64) bool {
	return !math.IsNaN(v) && v >= 0 && v <= maxAmount
}
