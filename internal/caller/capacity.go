package caller

import (
	"math"
	"time"
)

const (
	// growSlowdown is the slowdown below which a limit in use rises, and cutSlowdown the one above which it falls. Means of 16 answers
	// with exponentially distributed times vary by 18%, and the baseline is some 25% below the mean. With 1.6 and 2, a lane that had
	// a server for itself stayed at its share for seconds.
	growSlowdown = 2.0
	cutSlowdown  = 2.8
	// cutShareSlowdown is the one above which a limit falls below the share. All lanes at their shares have three requests per slot,
	// which makes answers three times slower. With 4.5, lanes under overload fell below their shares by chance.
	cutShareSlowdown = 5.5
	// slowdownWeight is the weight of the latest answer in a server's slowdown.
	slowdownWeight = 1.0 / 16
	// maxSlowdown bounds the influence of a single answer.
	maxSlowdown = 20.0
	// trialLength is how many answers before a cut, and how many after it, show whether less load makes the server faster.
	trialLength = 12
	// loadEffect is the slowdown after a cut, relative to the one before, below which the server counts as full.
	loadEffect = 0.8
	// yieldPart is the part of what exceeds the share that a lane gives back, over as many answers as its limit, between growSlowdown
	// and cutSlowdown.
	yieldPart = 0.25
	// growPause is how long a limit does not rise above the share after a decline: the server was full then.
	growPause = time.Second
	// trialStep is how much the slowdown must grow beyond what less load did not reduce, until a limit is cut again.
	trialStep = 1.6
	// baselineAnswers is how many answers the mean covers from which a baseline is taken, and baselineWeight how fast the baseline
	// follows. The least mean so far was too low by half: a lane alone at a server then took its own noise for load.
	baselineAnswers = 32
	baselineWeight  = 1.0 / 64
	// baselineRise is the time constant with which a baseline rises to the present mean under usual load. It is long, so that a queue
	// at the server does not become the normal time.
	baselineRise = 10 * time.Second
	// firstAnswers is how many answers set the first baseline. The first ones to arrive are the shortest.
	firstAnswers = 64
	// recentWeight is the weight of the latest answer in recent means, at least. After a pause it grows with recentMemory, so that a
	// few trials show a recovery.
	recentWeight = 1.0 / 8
	recentMemory = 500 * time.Millisecond
	// capacityReportInterval is the minimum time between two audit records about the limit of one server.
	capacityReportInterval = 10 * time.Second
)

// WorkTime is the row of one kind of work at a server.
type WorkTime struct {
	// Recent is the mean of the latest answer times, and InFlight the mean number of this lane's requests at the server when they were
	// sent.
	Recent   time.Duration
	InFlight float64
	// Baseline is the mean time under light load, and falls to lower means under any load. mean covers the last baselineAnswers
	// answers.
	Baseline   time.Duration
	mean       float64
	answers    int
	answeredAt time.Duration
}

// WithAnswer returns the row after an answer that took d to a request that was sent as one of inFlight. load tells
// whether the answer may show a higher baseline.
func (w WorkTime) WithAnswer(now, d time.Duration, inFlight int, load loadLevel) WorkTime {
	since := now - w.answeredAt
	w.answeredAt = now
	w.answers = min(w.answers+1, firstAnswers)
	w.mean += (float64(d) - w.mean) / float64(min(w.answers, baselineAnswers))
	weight := weightAfter(since)
	if w.Recent == 0 {
		weight = 1
	}
	w.Recent += time.Duration(weight * float64(d-w.Recent))
	w.InFlight += weight * (float64(inFlight) - w.InFlight)
	switch mean := time.Duration(w.mean); {
	case w.answers < firstAnswers:
		w.Baseline = max(mean, 1)
	case load == loadLight:
		w.Baseline += time.Duration(baselineWeight * float64(d-w.Baseline))
	case mean < w.Baseline:
		w.Baseline += time.Duration(baselineWeight * float64(mean-w.Baseline))
	case load == loadUsual:
		w.Baseline += time.Duration(min(1, since.Seconds()/baselineRise.Seconds()) * float64(mean-w.Baseline))
	}
	return w
}

// WithPrior returns the row of a kind of work that is new at a server, with the baseline of another server, 0 if none is known.
func (w WorkTime) WithPrior(baseline time.Duration) WorkTime {
	if baseline > 0 {
		w.Baseline, w.mean, w.answers = baseline, float64(baseline), firstAnswers
	}
	return w
}

// isEstablished reports whether the baseline rests on enough answers.
func (w WorkTime) isEstablished() bool {
	return w.answers >= firstAnswers
}

// Slowdown is how many times longer than the baseline an answer took.
func (w WorkTime) Slowdown(d time.Duration) float64 {
	return min(float64(d)/float64(max(w.Baseline, 1)), maxSlowdown)
}

// weightAfter is the weight of an answer in recent means, after a time without answers.
func weightAfter(since time.Duration) float64 {
	return max(recentWeight, 1-math.Exp(-since.Seconds()/recentMemory.Seconds()))
}

// loadLevel is how much a lane uses of a server.
type loadLevel uint8

const (
	loadLight loadLevel = iota
	loadUsual
	loadHeavy
)

// trialStage is the stage of a trial: none, the answers before a cut, or those after it.
type trialStage uint8

const (
	trialNone trialStage = iota
	trialBefore
	trialAfter
)

// Capacity is the row of what a lane has learned about a server's capacity.
type Capacity struct {
	// Share is the lane's equal share of what all lanes may have at the server, and Max is the sum. A zero Max means that the limit is
	// the share.
	Share int
	Max   int
	// Limit is how many requests the lane may have at the server.
	Limit float64
	// Slowdown is the mean of recent answer times relative to the baselines of the same kinds of work, and Baseline the mean of these.
	Slowdown float64
	Baseline time.Duration
	// CutAt is when the limit was cut last, beforeCut the limit and slowdownBefore the slowdown at that time, and declinedAt when a
	// decline cut it.
	CutAt          time.Duration
	beforeCut      float64
	slowdownBefore float64
	declinedAt     time.Duration
	// trial is the stage of the trial that tells a slow server from a full one, trialAnswers the number of its answers so far and
	// trialSum the sum of their slowdowns.
	trial        trialStage
	trialAnswers int
	trialSum     float64
	// SlowAtAnyLoad is the slowdown that less load did not reduce, 0 for none.
	SlowAtAnyLoad float64
	// Failing is the part of recent work that failed, and Declines counts consecutive declines for lack of capacity.
	Failing  float64
	Declines int
	// HeardAt is when the server last answered, declined or lost a request, and RoutedUntil the number of reads that the lane had
	// routed then.
	HeardAt     time.Duration
	RoutedUntil int
	// peak is the highest limit since the last report, halved is set from the report of a fall to its recovery.
	peak       float64
	halved     bool
	reportedAt time.Duration
}

// WorkAnswer is what one answer shows about a server. SentAt is when its request was sent, and InFlight the number of the lane's
// requests at the server then.
type WorkAnswer struct {
	Now      time.Duration
	SentAt   time.Duration
	InFlight int
	Slowdown float64
}

// CapacityRule decides how a learned limit changes with an answer, and with a decline for lack of capacity.
type CapacityRule struct {
	Answered func(c Capacity, a WorkAnswer) Capacity
	Declined func(c Capacity, now, sentAt time.Duration) Capacity
}

// WithBounds returns the row with new declared bounds.
func (c Capacity) WithBounds(share, maximum int) Capacity {
	if c.Max == 0 || c.Limit == 0 {
		c.Limit = float64(share)
	}
	c.Share = share
	c.Max = maximum
	return c.WithLimit(c.Limit)
}

// WithLimit returns the row with another limit within the declared bounds.
func (c Capacity) WithLimit(limit float64) Capacity {
	c.Limit = min(max(limit, 1), float64(max(c.Max, 1)))
	return c
}

// Allowed is the limit in whole requests.
func (c Capacity) Allowed() int {
	return int(c.Limit)
}

// WithSlowdown returns the row after an answer with the given slowdown and baseline.
func (c Capacity) WithSlowdown(slowdown float64, baseline time.Duration) Capacity {
	if c.Slowdown == 0 {
		c.Slowdown, c.Baseline = 1, baseline
	}
	c.Slowdown += slowdownWeight * (slowdown - c.Slowdown)
	c.Baseline += time.Duration(slowdownWeight * float64(baseline-c.Baseline))
	return c
}

// WithHeard returns the row after a request that the server answered, declined or lost.
func (c Capacity) WithHeard(now time.Duration, failed bool) Capacity {
	result := 0.0
	if failed {
		result = 1
	}
	weight := recentWeight
	if !failed {
		// Success after a pause says less about a server that fails only part of its work than about a slow one.
		weight = min(weightAfter(now-c.HeardAt), 2*recentWeight)
	}
	c.Failing += weight * (result - c.Failing)
	c.HeardAt = now
	return c
}

// WithDeclines returns the row with one more consecutive decline, or with none.
func (c Capacity) WithDeclines(declined bool) Capacity {
	c.Declines++
	if !declined {
		c.Declines = 0
	}
	return c
}

// LearnedCapacity raises a limit in use while answers are quick, and cuts it when they are slow. A cut that does not make the
// server faster is undone up to the share, since the server is then slow at any load or loaded by other lanes.
func LearnedCapacity() CapacityRule {
	return CapacityRule{Answered: learnFromAnswer, Declined: learnFromDecline}
}

func learnFromAnswer(c Capacity, a WorkAnswer) Capacity {
	if c.trial != trialNone {
		return c.withTrialAnswer(a)
	}
	c.SlowAtAnyLoad = min(c.SlowAtAnyLoad, max(c.Slowdown, 1))
	share := float64(c.Share)
	switch {
	case a.SentAt < c.CutAt:
	case c.Limit > share && c.Slowdown > cutSlowdown:
		// Other lanes load the server, or it is slow at any load: what exceeds the share is given back.
		c.CutAt = a.Now
		return c.WithLimit(max(c.Limit/2, share))
	case c.Limit <= share && c.Slowdown > max(cutShareSlowdown, c.SlowAtAnyLoad*trialStep):
		c.trial, c.trialAnswers, c.trialSum = trialBefore, 0, 0
	case c.Limit > share && c.Slowdown >= growSlowdown:
		// Without this, a lane that has grown while others were idle would keep more than they have.
		return c.WithLimit(c.Limit - (c.Limit-share)/c.Limit*yieldPart)
	case float64(a.InFlight) >= c.Limit-1 && c.mayGrow(a.Now):
		return c.WithLimit(c.Limit + 1/c.Limit)
	}
	return c
}

// withTrialAnswer returns the row after an answer during a trial: of those before the cut, at whose end the limit is cut, or of
// those to requests that were sent after it.
func (c Capacity) withTrialAnswer(a WorkAnswer) Capacity {
	if c.trial == trialAfter && a.SentAt < c.CutAt {
		return c
	}
	c.trialAnswers++
	c.trialSum += a.Slowdown
	if c.trialAnswers < trialLength {
		return c
	}
	mean := c.trialSum / trialLength
	c.trialAnswers, c.trialSum = 0, 0
	switch {
	case c.trial == trialAfter:
		return c.withTrialResult(mean)
	case mean <= cutShareSlowdown:
		c.trial = trialNone
		return c
	}
	c.beforeCut, c.slowdownBefore = c.Limit, mean
	c.CutAt, c.trial = a.Now, trialAfter
	return c.WithLimit(c.Limit * max(0.5, growSlowdown/mean))
}

// mayGrow reports whether the limit may rise. Below the share, it may also rise at a server that is slow at any load, and by trial
// some time after a cut.
func (c Capacity) mayGrow(now time.Duration) bool {
	if c.Limit < float64(c.Share) {
		return c.Slowdown < max(cutSlowdown, c.SlowAtAnyLoad*trialStep) || now >= c.CutAt+growPause
	}
	return c.Slowdown < growSlowdown && (c.declinedAt == 0 || now >= c.declinedAt+growPause)
}

// loadAt returns the load at which the lane sent a request as one of inFlight. A limit that has fallen to one request does not
// show that the lane had little work.
func (c Capacity) loadAt(inFlight int) loadLevel {
	switch {
	case c.Allowed() >= 2 && inFlight <= max(1, c.Allowed()/4):
		return loadLight
	case c.Limit <= float64(c.Share) || c.Slowdown < growSlowdown:
		return loadUsual
	default:
		return loadHeavy
	}
}

// withTrialResult returns the row after the answers since a cut, with their mean slowdown.
func (c Capacity) withTrialResult(slowdown float64) Capacity {
	c.trial = trialNone
	c.Slowdown = slowdown
	if slowdown <= c.slowdownBefore*loadEffect {
		c.SlowAtAnyLoad = 0
		return c
	}
	c.SlowAtAnyLoad = slowdown
	return c.WithLimit(max(c.Limit, min(c.beforeCut, float64(c.Share))))
}

func learnFromDecline(c Capacity, now, sentAt time.Duration) Capacity {
	if sentAt < c.CutAt {
		return c
	}
	c.CutAt, c.declinedAt, c.trial = now, now, trialNone
	if share := float64(c.Share); c.Limit > share {
		return c.WithLimit(max(c.Limit/2, share))
	}
	return c.WithLimit(c.Limit / 2)
}

// withReport returns the row after a look at whether its limit has fallen to half or recovered, and the cause of the audit
// record, or "".
func (c Capacity) withReport(now time.Duration) (Capacity, string) {
	c.peak = max(c.peak, c.Limit)
	if c.reportedAt != 0 && now < c.reportedAt+capacityReportInterval {
		return c, ""
	}
	switch {
	case !c.halved && c.Limit <= c.peak/2:
		c.halved, c.reportedAt = true, now
		return c, CauseLimitHalved
	case c.halved && c.Limit >= min(c.peak, float64(c.Share)):
		c.halved, c.reportedAt, c.peak = false, now, c.Limit
		return c, CauseLimitRecovered
	}
	return c, ""
}
