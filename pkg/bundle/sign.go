package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
)

// Signature is a base64 ed25519 signature. Key is the name of the signing key in the bundle.
type Signature struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Signed is the canonical bytes of a bundle with their signatures.
type Signed struct {
	Body       json.RawMessage `json:"body"`
	Signatures []Signature     `json:"signatures"`
}

// RefusedError is the reason why a signed bundle was not accepted. Version is 0 if the bundle could not be parsed.
type RefusedError struct {
	Version uint64
	Reason  string
}

// Error returns a message with the version and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("bundle version %d refused: %s", e.Version, e.Reason)
}

// NewSigned returns the canonical bytes of the bundle, without signatures.
func NewSigned(b Bundle) (Signed, error) {
	body, err := b.Canonical()
	return Signed{Body: body}, err
}

// WithSignature returns the bundle with a signature by the named key added. It replaces an earlier signature by that key.
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

// Bundle parses and checks the signed bundle. It does not verify the signatures.
func (s Signed) Bundle() (Bundle, error) {
	return Parse("bundle", s.Body)
}

// Encode returns the JSON in which signed bundles are sent and stored.
func (s Signed) Encode() ([]byte, error) {
	return json.Marshal(s)
}

// DecodeSigned reads the JSON that Encode returns. Its error is a *RefusedError.
func DecodeSigned(b []byte) (Signed, error) {
	var s Signed
	if err := json.Unmarshal(b, &s); err != nil {
		return Signed{}, &RefusedError{Reason: err.Error()}
	}
	return s, nil
}

// Accept returns the bundle in next if it may replace current: it must be a higher version of the same deployment, signed by
// enough of the keys in current. If current has version 0, next is a node's first bundle and is checked against its own keys.
// The error is a *RefusedError.
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

// countValidSignatures returns the number of keys with a valid signature.
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
