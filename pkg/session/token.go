package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
)

const (
	tokenPrefix   = "bp1"
	maxTokenBytes = 4096
	minKeyBytes   = 16
)

// TokenError is a rejected token, key or position. Part names the part that was rejected.
type TokenError struct {
	Part   string
	Reason string
}

// Error returns the rejected part and the reason.
func (e *TokenError) Error() string {
	return fmt.Sprintf("session token: %s: %s", e.Part, e.Reason)
}

// Token is the state that a caller carries from one proxy to another, so that it reads its own writes there. Floor is the
// oldest log position that answers may be based on.
type Token struct {
	Database string   `json:"database"`
	Floor    Position `json:"floor"`
}

// WithFloor returns the token with its floor raised to at least p.
func (t Token) WithFloor(p Position) Token {
	t.Floor = t.Floor.Max(p)
	return t
}

// Signer signs and verifies tokens with an HMAC key that all proxies of a deployment share.
type Signer struct {
	key []byte
}

// NewSigner returns a signer for a key of at least 16 bytes. Its error is a *TokenError.
func NewSigner(key []byte) (*Signer, error) {
	if len(key) < minKeyBytes {
		return nil, &TokenError{Part: "key", Reason: fmt.Sprintf("has %d bytes, want at least %d", len(key), minKeyBytes)}
	}
	return &Signer{key: append([]byte(nil), key...)}, nil
}

// Sign returns the signed text form of a token: the prefix, the encoded body and the MAC, separated by dots.
func (s *Signer) Sign(t Token) (string, error) {
	var body []byte
	var err error
	if body, err = json.Marshal(t); err != nil {
		return "", &TokenError{Part: "body", Reason: err.Error()}
	}
	text := base64.RawURLEncoding.EncodeToString(body)
	return strings.Join([]string{tokenPrefix, text, s.computeMAC(text)}, "."), nil
}

// Verify parses and returns a signed token. It returns a *TokenError if the text is malformed, altered or signed with another
// key.
func (s *Signer) Verify(text string) (Token, error) {
	if len(text) > maxTokenBytes {
		return Token{}, &TokenError{Part: "length", Reason: fmt.Sprintf("has %d bytes, want at most %d", len(text), maxTokenBytes)}
	}
	parts := strings.Split(text, ".")
	if len(parts) != 3 || parts[0] != tokenPrefix {
		return Token{}, &TokenError{Part: "form", Reason: "does not have the form bp1.BODY.MAC"}
	}
	if !hmac.Equal([]byte(parts[2]), []byte(s.computeMAC(parts[1]))) {
		return Token{}, &TokenError{Part: "mac", Reason: "does not match: the token was altered, or signed with another key"}
	}
	var t Token
	if body, err := base64.RawURLEncoding.DecodeString(parts[1]); err != nil {
		return Token{}, &TokenError{Part: "body", Reason: err.Error()}
	} else if err := json.Unmarshal(body, &t); err != nil {
		return Token{}, &TokenError{Part: "body", Reason: err.Error()}
	}
	return t, nil
}

func (s *Signer) computeMAC(text string) string {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(tokenPrefix + "." + text))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}
