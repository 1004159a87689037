// Package pgwire implements version 3 of the PostgreSQL protocol for connections from callers and to upstreams. It decodes
// messages into events for the decision packages and encodes their actions into messages. It makes no decisions itself.
package pgwire
