package tenant

// Stats counts what a node decided about limits.
type Stats struct {
	// Tenants holds the counts of each tenant of which operations arrived.
	Tenants map[string]Counts
	// CreditAsked and CreditReceived count the credit that the node has borrowed, CreditLent what it has lent as a home.
	CreditAsked    uint64
	CreditReceived uint64
	CreditLent     uint64
	// Alone counts the operations that were admitted without credit while no home answered.
	Alone uint64
	// MessagesSent counts the messages to other nodes.
	MessagesSent uint64
	rows         map[string]*Counts
}

// Counts counts the operations of a tenant that were admitted, that were refused, and that had to wait for credit before.
type Counts struct {
	Admitted uint64
	Refused  uint64
	Waited   uint64
}

func (s *Stats) row(name string) *Counts {
	c, ok := s.rows[name]
	if !ok {
		c = &Counts{}
		s.rows[name] = c
	}
	return c
}

// snapshot returns a copy.
func (s *Stats) snapshot() Stats {
	c := *s
	c.rows = nil
	c.Tenants = make(map[string]Counts, len(s.rows))
	for name, v := range s.rows {
		c.Tenants[name] = *v
	}
	return c
}
