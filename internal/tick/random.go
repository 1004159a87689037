package tick

import (
	"crypto/rand"
	"math/big"
	"time"
)

// RandomIntN returns a number from zero up to, but not including, n; without a source of randomness it is the middle.
func RandomIntN(n int) int {
	k, err := rand.Int(rand.Reader, big.NewInt(int64(n)))
	if err != nil {
		return n / 2
	}
	return int(k.Int64())
}

// Jitter returns a random time up to a limit.
func Jitter(limit time.Duration) time.Duration {
	return time.Duration(RandomIntN(int(limit) + 1))
}
