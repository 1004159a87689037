package caller

import "time"

const (
	// FloorTimeout is how long a session without a token waits for a primary to confirm its floor before it may do stale
	// reads.
	FloorTimeout = 500 * time.Millisecond
	// ResolveTimeout is how long the outcome of a lost answer is looked up.
	ResolveTimeout = 8 * time.Second
	// MinConfirmationWait is the minimum time for which a commit waits for evidence.
	MinConfirmationWait = 4 * time.Second
	// CancelGrace is how long a cancelled request may stay unanswered before its connection is closed.
	CancelGrace = 2 * time.Second
	// MaxAttempts is the maximum number of times that a read, or a request that servers decline, is sent.
	MaxAttempts = 4
	// ConnectBackoff is the maximum delay before the next connection to a server that refused one.
	ConnectBackoff = 100 * time.Millisecond
	// ConfirmationBackoff is the delay after a failed confirmation.
	ConfirmationBackoff = 20 * time.Millisecond
	// ConfirmationTimeout is how long the lane waits for one confirmation.
	ConfirmationTimeout = 400 * time.Millisecond
	// ConnLifetime is the age at which an idle connection is closed. Up to a quarter is added at random.
	ConnLifetime = 10 * time.Minute
	// ConnIdleTimeout is how long a connection may stay idle before it is closed.
	ConnIdleTimeout = 2 * time.Minute

	// maxConfirmations is the maximum number of pending confirmations.
	maxConfirmations = 2
	// maxQueueScan is how many requests that cannot start yet are skipped in one queue per step.
	maxQueueScan = 16
	// maxRetryBudget is the largest number of reads that are sent again without answers in between. Each answer adds
	// retryBudgetPerAnswer.
	maxRetryBudget       = 20.0
	retryBudgetPerAnswer = 0.1
	// meanWeight is the weight of the latest value in moving averages.
	meanWeight = 0.1
	// retryHint is the delay that refusals suggest to callers before the next attempt.
	retryHint = 200 * time.Millisecond
)
