package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
)

// Signature is one person's sign-off, in base64.
type Signature struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Signed is a bundle in its canonical bytes together with its sign-offs.
type Signed struct {
	Body       json.RawMessage `json:"body"`
	Signatures []Signature     `json:"signatures"`
}

// RefusedError says why a signed bundle is not accepted.
type RefusedError struct {
	Version uint64
	Reason  string
}

// Error names the version and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("bundle version %d refused: %s", e.Version, e.Reason)
}

// NewSigned returns the bundle in its canonical bytes, without any sign-off.
func NewSigned(b Bundle) (Signed, error) {
	body, err := b.Canonical()
	return Signed{Body: body}, err
}

// WithSignature returns the bundle with one more sign-off, in place of an earlier one by the same key.
func (s Signed) WithSignature(name string, key ed25519.PrivateKey) Signed {
	var out []Signature
	for _, o := range s.Signatures {
		if o.Key != name {
			out = append(out, o)
		}
	}
	v := base64.StdEncoding.EncodeToString(ed25519.Sign(key, s.Body))
	s.Signatures = append(out, Signature{Key: name, Value: v})
	return s
}

// Bundle returns the bundle inside, fully checked but without regard to sign-offs.
func (s Signed) Bundle() (Bundle, error) {
	return Parse("bundle", s.Body)
}

// Encode returns the form in which signed bundles travel and are kept.
func (s Signed) Encode() ([]byte, error) {
	return json.Marshal(s)
}

// DecodeSigned reads the form that Encode writes.
func DecodeSigned(b []byte) (Signed, error) {
	var s Signed
	if err := json.Unmarshal(b, &s); err != nil {
		return Signed{}, &RefusedError{Reason: err.Error()}
	}
	return s, nil
}

// Accept returns the bundle inside next if it may replace current: a higher version of the same deployment, signed off by
// enough of the keys that current names. The first bundle of a node has nothing to replace and vouches for itself.
func Accept(current Bundle, next Signed) (Bundle, error) {
	b, err := next.Bundle()
	if err != nil {
		return Bundle{}, &RefusedError{Reason: err.Error()}
	}
	keys, needed := current.Keys, current.SignaturesNeeded
	switch {
	case current.Version == 0:
		keys, needed = b.Keys, b.SignaturesNeeded
	case b.Deployment != current.Deployment:
		return Bundle{}, &RefusedError{Version: b.Version, Reason: fmt.Sprintf("it is of deployment %q", b.Deployment)}
	case b.Version <= current.Version:
		return Bundle{}, &RefusedError{Version: b.Version, Reason: fmt.Sprintf("version %d is in force", current.Version)}
	}
	if n := countValidSignatures(keys, next); n < needed {
		return Bundle{}, &RefusedError{Version: b.Version, Reason: fmt.Sprintf("%d of %d sign-offs needed are valid", n, needed)}
	}
	return b, nil
}

// countValidSignatures counts the keys whose sign-off over the bytes holds.
func countValidSignatures(keys []Key, s Signed) int {
	n := 0
	for _, k := range keys {
		public, err := base64.StdEncoding.DecodeString(k.Public)
		if err != nil || len(public) != ed25519.PublicKeySize {
			continue
		}
		for _, g := range s.Signatures {
			value, err := base64.StdEncoding.DecodeString(g.Value)
			if g.Key == k.Name && err == nil && ed25519.Verify(public, s.Body, value) {
				n++
				break
			}
		}
	}
	return n
}
