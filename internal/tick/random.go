package tick

import (
	"crypto/rand"
	"math/big"
	"time"
)

// RandomIntN returns a random number in [0, n). If the system's random source fails, it returns n/2.
func RandomIntN(n int) int {
	k, err := rand.Int(rand.Reader, big.NewInt(int64(n)))
	if err != nil {
		return n / 2
	}
	return int(k.Int64())
}

// Jitter returns a random duration in [0, limit].
func Jitter(limit time.Duration) time.Duration {
	return time.Duration(RandomIntN(int(limit) + 1))
}
