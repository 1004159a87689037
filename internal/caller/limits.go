package caller

import "time"

const (
	// FloorTimeout is how long a session without a token waits for a primary to tell its floor before a stale read.
	FloorTimeout = 500 * time.Millisecond
	// ResolveTimeout is how long the outcome of a lost answer is looked for.
	ResolveTimeout = 8 * time.Second
	// MinConfirmationWait is how long a commit waits for evidence at least.
	MinConfirmationWait = 4 * time.Second
	// CancelGrace is how long a cancelled request may stay unanswered before its connection is closed.
	CancelGrace = 2 * time.Second
	// MaxAttempts bounds how often a read is sent.
	MaxAttempts = 4
	// ConnectBackoff is the longest wait before a server that refused a connection is tried again.
	ConnectBackoff = 100 * time.Millisecond
	// ConfirmationBackoff is the wait after a failed proof.
	ConfirmationBackoff = 20 * time.Millisecond
	// ConfirmationTimeout bounds the wait for one proof.
	ConfirmationTimeout = 400 * time.Millisecond
	// ConnLifetime is the age at which an idle connection is closed; up to a quarter is added at random.
	ConnLifetime = 10 * time.Minute
	// ConnIdleTimeout is how long a connection may stay idle before it is closed.
	ConnIdleTimeout = 2 * time.Minute

	maxConfirmations      = 2
	maxQueueScan        = 16
	maxRetryBudget     = 20.0
	retryBudgetPerAnswer = 0.1
	meanWeight     = 0.1
	retryHint      = 200 * time.Millisecond
)
