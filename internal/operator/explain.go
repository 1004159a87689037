package operator

import (
	"fmt"
	"strings"
)

// Sentence returns the record as one English sentence that begins with its time and node.
func (r Record) Sentence() string {
	at := r.Time.Format("2006-01-02T15:04:05.000Z07:00")
	if f, ok := sentences[r.Kind]; ok {
		return fmt.Sprintf("%s %s: %s", at, r.Node, f(r))
	}
	return fmt.Sprintf("%s %s: %s (%s)%s", at, r.Node, r.Kind, r.Cause, r.formatEvidence())
}

var sentences = map[Kind]func(r Record) string{
	KindRequest:   requestSentence,
	KindSuspicion: suspicionSentence,
	KindPromotion: promotionSentence,
	KindTerm: func(r Record) string {
		if r.Cause == "listed_again" {
			return fmt.Sprintf("%s is listed again and still the primary of %s in term %d.", r.Server, r.Group, r.Term)
		}
		return fmt.Sprintf("the primary of %s is now %s in term %d (%s); previously %s.", r.Group, r.Server, r.Term, r.Cause,
			r.evidenceValue("before"))
	},
	KindRejoin: func(r Record) string {
		return fmt.Sprintf("%s did not follow term %d of %s and was ordered to follow it.", r.Server, r.Term, r.Group)
	},
	KindBundle: func(r Record) string {
		if r.Cause == "refused" {
			return fmt.Sprintf("a bundle was refused; source: %s; reason: %s.", r.evidenceValue("source"), r.evidenceValue("reason"))
		}
		return fmt.Sprintf("bundle version %d took effect; source: %s.", r.Version, r.evidenceValue("source"))
	},
	KindMember: func(r Record) string {
		return fmt.Sprintf("node %s is now %s; previously %s.", r.Server, r.Cause, r.evidenceValue("before"))
	},
	KindDrain: func(r Record) string {
		if r.Cause == "begun" {
			return "the node started to drain."
		}
		return fmt.Sprintf("the node finished draining; %s callers were cut off.", r.evidenceValue("cut_off"))
	},
	KindOutcomeUnknown: func(r Record) string {
		return fmt.Sprintf("the outcome of a request on %s could not be resolved; idempotency key %q.", r.Group, r.evidenceValue("key"))
	},
	KindLostWork: func(r Record) string {
		return fmt.Sprintf("the promotion to term %d of %s dropped work (%s):%s.", r.Term, r.Group, r.Cause, r.formatEvidence())
	},
	KindServer: func(r Record) string {
		switch r.Cause {
		case "limit_halved":
			return fmt.Sprintf("the learned limit of server %s of %s fell to half:%s.", r.Server, r.Group, r.formatEvidence())
		case "limit_recovered":
			return fmt.Sprintf("the learned limit of server %s of %s has recovered:%s.", r.Server, r.Group, r.formatEvidence())
		}
		return fmt.Sprintf("server %s of %s is %s (%s).", r.Server, r.Group, r.Cause, strings.TrimSpace(r.formatEvidence()))
	},
	KindDependency: func(r Record) string {
		return fmt.Sprintf("dependency %s: %s;%s.", r.Server, r.Cause, r.formatEvidence())
	},
	KindLease: func(r Record) string {
		return fmt.Sprintf("lease of %s: %s;%s.", r.Group, r.Cause, r.formatEvidence())
	},
	KindGap: func(r Record) string {
		if r.Cause == "log_limit" {
			return fmt.Sprintf("the rate limit of the log suppressed records:%s.", r.formatEvidence())
		}
		return fmt.Sprintf("%s records were dropped because the store was unreachable.", r.evidenceValue("dropped"))
	},
}

func suspicionSentence(r Record) string {
	switch r.Cause {
	case "own_pause":
		return fmt.Sprintf("this node was paused for %s and restarted its failure detection.", r.evidenceValue("late_by"))
	case "cleared":
		return fmt.Sprintf("%s of %s is no longer suspected to have failed.", r.Server, r.Group)
	default:
		return fmt.Sprintf("%s, primary of %s in term %d, is suspected to have failed (%s):%s.", r.Server, r.Group, r.Term, r.Cause,
			r.formatEvidence())
	}
}

func promotionSentence(r Record) string {
	if r.Cause == "ordered" || r.Cause == "no_successor" {
		return fmt.Sprintf("promotion in %s to term %d: %s %s;%s.", r.Group, r.Term, r.Cause, r.Server, r.formatEvidence())
	}
	if strings.HasPrefix(r.Cause, "abandoned") {
		return fmt.Sprintf("the promotion in %s to term %d was abandoned in stage %s.", r.Group, r.Term,
			strings.TrimPrefix(r.Cause, "abandoned_"))
	}
	return fmt.Sprintf("%s was promoted to primary of %s in term %d and replaced %s (%s): detection %s, fence %s, wait %s, open %s.",
		r.Server, r.Group, r.Term, r.evidenceValue("replaced"), r.Cause, r.evidenceValue(StageDetection),
		r.evidenceValue(StageFence), r.evidenceValue(StageWait), r.evidenceValue(StageOpen))
}

func (r Record) evidenceValue(name string) string {
	for _, e := range r.Evidence {
		if e.Name == name {
			return e.Value
		}
	}
	return ""
}

func (r Record) formatEvidence() string {
	var b strings.Builder
	for _, e := range r.Evidence {
		fmt.Fprintf(&b, " %s=%s;", e.Name, e.Value)
	}
	return strings.TrimSuffix(b.String(), ";")
}
