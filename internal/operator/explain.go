package operator

import (
	"fmt"
	"strings"
)

// Sentence tells a record in plain words.
func (r Record) Sentence() string {
	at := r.Time.Format("2006-01-02T15:04:05.000Z07:00")
	if f, ok := sentences[r.Kind]; ok {
		return fmt.Sprintf("%s %s: %s", at, r.Node, f(r))
	}
	return fmt.Sprintf("%s %s: %s (%s)%s", at, r.Node, r.Kind, r.Cause, r.evidence())
}

var sentences = map[Kind]func(r Record) string{
	KindRequest:   requestSentence,
	KindSuspicion: suspicion,
	KindPromotion: promotion,
	KindTerm: func(r Record) string {
		return fmt.Sprintf("%s is led by %s in term %d now (%s); before, %s.", r.Group, r.Server, r.Term, r.Cause, r.value("before"))
	},
	KindRejoin: func(r Record) string {
		return fmt.Sprintf("%s stood outside term %d of %s and was told to follow.", r.Server, r.Term, r.Group)
	},
	KindBundle: func(r Record) string {
		if r.Cause == "refused" {
			return fmt.Sprintf("a bundle from the %s was refused: %s.", r.value("source"), r.value("reason"))
		}
		return fmt.Sprintf("bundle version %d came into force, from the %s.", r.Version, r.value("source"))
	},
	KindMember: func(r Record) string {
		return fmt.Sprintf("node %s is %s now; before, %s.", r.Server, r.Cause, r.value("before"))
	},
	KindDrain: func(r Record) string {
		if r.Cause == "begun" {
			return "the node began to leave."
		}
		return fmt.Sprintf("the node left; %s callers were cut off.", r.value("cut_off"))
	},
	KindOutcomeUnknown: func(r Record) string {
		return fmt.Sprintf("the outcome of a request on %s could not be settled; key %q.", r.Group, r.value("key"))
	},
	KindLostWork: func(r Record) string {
		return fmt.Sprintf("term %d of %s dropped work (%s):%s.", r.Term, r.Group, r.Cause, r.evidence())
	},
	KindServer: func(r Record) string {
		return fmt.Sprintf("server %s of %s is %s (%s).", r.Server, r.Group, r.Cause, strings.TrimSpace(r.evidence()))
	},
	KindDependency: func(r Record) string {
		return fmt.Sprintf("%s: %s;%s.", r.Server, r.Cause, r.evidence())
	},
	KindLease: func(r Record) string {
		return fmt.Sprintf("lease of %s: %s;%s.", r.Group, r.Cause, r.evidence())
	},
	KindGap: func(r Record) string {
		if r.Cause == "log_limit" {
			return fmt.Sprintf("lines were left out of the log:%s.", r.evidence())
		}
		return fmt.Sprintf("%s records were dropped because the store could not be reached.", r.value("dropped"))
	},
}

func suspicion(r Record) string {
	switch r.Cause {
	case "own_pause":
		return fmt.Sprintf("this node itself stood still for %s and started its watch anew.", r.value("late_by"))
	case "cleared":
		return fmt.Sprintf("nothing speaks against %s of %s any more.", r.Server, r.Group)
	default:
		return fmt.Sprintf("%s, primary of %s in term %d, is thought failed (%s):%s.", r.Server, r.Group, r.Term, r.Cause, r.evidence())
	}
}

func promotion(r Record) string {
	if r.Cause == "ordered" || r.Cause == "no_successor" {
		return fmt.Sprintf("promotion in %s, term %d: %s %s;%s.", r.Group, r.Term, r.Cause, r.Server, r.evidence())
	}
	if strings.HasPrefix(r.Cause, "abandoned") {
		return fmt.Sprintf("promotion of %s to term %d was given up while %s.", r.Group, r.Term,
			strings.TrimPrefix(r.Cause, "abandoned_"))
	}
	return fmt.Sprintf("%s was promoted to lead %s in term %d in place of %s (%s): detection %s, fence %s, wait %s, open %s.",
		r.Server, r.Group, r.Term, r.value("replaced"), r.Cause, r.value(StageDetection), r.value(StageFence), r.value(StageWait),
		r.value(StageOpen))
}

func (r Record) value(name string) string {
	for _, e := range r.Evidence {
		if e.Name == name {
			return e.Value
		}
	}
	return ""
}

func (r Record) evidence() string {
	var b strings.Builder
	for _, e := range r.Evidence {
		fmt.Fprintf(&b, " %s=%s;", e.Name, e.Value)
	}
	return strings.TrimSuffix(b.String(), ";")
}
