// Package session defines the state that a caller carries between proxies for session consistency: per database, the log position
// that its reads must include, in a signed token.
package session
