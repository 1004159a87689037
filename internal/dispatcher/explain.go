package dispatcher

import (
	"fmt"
	"time"

	"buckthornport.example/buckthornport/internal/caller"
)

// RouteQuestion asks which dispatcher would get a request for a group now. The request is not sent, and nothing changes.
type RouteQuestion struct {
	Group string
	// Reply receives the answer. It must not block.
	Reply func(e caller.RouteExplanation)
}

// explainRoute answers a RouteQuestion.
func (r *Relay) explainRoute(now time.Duration, e RouteQuestion) {
	x := caller.RouteExplanation{
		Group: e.Group, Decision: caller.DecisionWait, Why: "no node that serves the group can be used; links to them are opened",
	}
	g, _ := r.groups.Get(e.Group)
	for _, p := range g.peers {
		n, _ := r.nodes.Get(p)
		c := caller.NodeChoice{Node: p, Why: n.explain()}
		if until := g.declinedUntil[p]; now < until {
			c.Why = fmt.Sprintf("it declined a request; it is tried again in %v", until-now)
		} else if n.usable() && x.Target == "" {
			x.Decision, x.Target, x.Why = caller.DecisionForward, p, "it is the nearest node that serves the group and can be used"
		}
		x.Nodes = append(x.Nodes, c)
	}
	if r.draining {
		x.Decision, x.Target, x.Why = caller.DecisionRefuse, "", "the node is draining"
	}
	r.actions = append(r.actions, caller.RouteExplained{Explanation: x, Reply: e.Reply})
}

// explain says whether a node may get requests.
func (n node) explain() string {
	switch {
	case n.phase == linkOpening:
		return "the link to it is being opened"
	case n.phase == linkDown:
		return "there is no link to it"
	case n.suspect:
		return "it does not answer"
	case n.draining:
		return "it is draining"
	}
	return "it can be used"
}
