package peerlink

import (
	"time"

	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/tenant"
)

// kindLimit is the kind of a message about the limits of tenants. It is outside the range of peer.Kind.
const kindLimit = 102

const (
	// maxCredit bounds the numbers of credits in a message of another node.
	maxCredit = 1 << 20
	// maxLimitAge is how long a message about limits may wait for its connection. A home that got an older question would lend credit
	// that has expired.
	maxLimitAge = 300 * time.Millisecond
)

// WithLimitHandler passes messages about the limits of tenants to receive, with the name of the node that sent them. It passes the
// address of a node to which no connection could be opened, whatever the message, to unreachable.
func WithLimitHandler(receive func(from string, m tenant.Message), unreachable func(address string, err error)) Option {
	return func(l *Link) error {
		l.receiveLimit, l.dialFailed = receive, unreachable
		return nil
	}
}

// SendLimit queues a message from the node named self about limits. It never blocks, and drops the message if the queue is
// full or the message has waited for maxLimitAge.
func (l *Link) SendLimit(self, address, zone string, m tenant.Message) {
	until := time.Now().Add(maxLimitAge)
	l.enqueue(address, address, outgoing{purpose: metrics.Limits, zone: zone, until: until, encode: func() (*Message, error) {
		return &Message{Kind: kindLimit, From: self, Limit: encodeLimit(m)}, nil
	}})
}

func encodeLimit(m tenant.Message) *LimitMessage {
	p := &LimitMessage{Kind: uint32(m.Kind), Seq: m.Seq, Version: m.Version, Tenants: m.Tenants, Fallback: m.Fallback}
	for _, a := range m.Asks {
		p.Asks = append(p.Asks, &CreditAsk{
			Tenant: a.Tenant, Need: encodeCredit(a.Need), Want: encodeCredit(a.Want), Rate: a.Limit.Rate, Burst: a.Limit.Burst,
		})
	}
	for _, g := range m.Grants {
		p.Grants = append(p.Grants, &CreditGrant{
			Tenant: g.Tenant, Credit: encodeCredit(g.Credit), RetryAfterUs: uint64(max(0, g.RetryAfter.Microseconds())),
			Unready: g.Unready, Filling: g.Filling,
		})
	}
	return p
}

func decodeLimit(p *LimitMessage) tenant.Message {
	m := tenant.Message{
		Kind: tenant.MessageKind(min(p.Kind, 1<<8-1)), Seq: p.Seq, Version: p.Version, Tenants: p.Tenants, Fallback: p.Fallback,
	}
	for _, a := range p.Asks {
		m.Asks = append(m.Asks, tenant.Ask{
			Tenant: a.Tenant, Need: decodeCredit(a.Need), Want: decodeCredit(a.Want),
			Limit: tenant.Limit{Rate: a.Rate, Burst: a.Burst},
		})
	}
	for _, g := range p.Grants {
		m.Grants = append(m.Grants, tenant.Grant{
			Tenant: g.Tenant, Credit: decodeCredit(g.Credit), RetryAfter: time.Duration(g.RetryAfterUs) * time.Microsecond,
			Unready: g.Unready, Filling: g.Filling,
		})
	}
	return m
}

func encodeCredit(n int) uint32 {
	return uint32(min(max(0, n), maxCredit))
}

func decodeCredit(n uint32) int {
	return int(min(n, maxCredit))
}
