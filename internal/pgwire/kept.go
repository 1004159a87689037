package pgwire

import "buckthornport.example/buckthornport/internal/budget"

// keep reserves memory for further bytes of the session's statements and settings. Its error is a *requestError.
func (c *CallerConn) keep(n int64) error {
	bytes := c.keptBytes + n
	if limits, ok := c.account.Limits(); ok && bytes > limits.SessionState {
		c.account.Reject(budget.ReasonState)
		return &requestError{code: "53400", text: "the session keeps too many statements and settings"}
	}
	if c.kept == nil && copies*bytes > budget.FreeBytes {
		c.kept = c.account.NewStateHold()
	}
	if !c.kept.Grow(copies * bytes) {
		return &requestError{code: "53200", text: "this proxy has no memory for another statement or setting now"}
	}
	c.keptBytes = bytes
	return nil
}

// addStatement keeps a prepared statement under the caller's name for it.
func (c *CallerConn) addStatement(name string, p prepared) error {
	c.removeStatement(name)
	if err := c.keep(int64(len(name) + len(p.sql))); err != nil {
		return err
	}
	c.statements[name] = p
	return nil
}

func (c *CallerConn) removeStatement(name string) {
	if p, ok := c.statements[name]; ok {
		delete(c.statements, name)
		c.keptBytes -= int64(len(name) + len(p.sql))
		c.kept.Shrink(copies * c.keptBytes)
	}
}
