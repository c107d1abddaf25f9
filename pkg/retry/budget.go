package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of Budget and Backoff.
const (
	// initialBudget is the number of retries that a key is allowed before its first
	// success.
	initialBudget = 10
	// maxBudget bounds the number of retries that a key can accumulate.
	maxBudget = 50
	// baseBackoff is the mean delay before the first retry.
	baseBackoff = 20 * time.Millisecond
	// maxBackoff bounds the delay before a retry.
	maxBackoff = time.Second

	// budgetShards is the number of shards. Each has its own mutex, so that keys of
	// different shards don't contend.
	budgetShards = 16
)

// Budget limits the retries of each key to a share of its successful requests. The zero
// value is ready to use, and a Budget is safe for concurrent use.
type Budget struct {
	shards [budgetShards]budgetShard
}

// budgetShard holds the balances of a shard of the keys. A balance is the number of
// retries that are still allowed.
type budgetShard struct {
	mu       sync.Mutex
	balances map[string]float64
}

// shard returns the shard that holds a key.
func (b *Budget) shard(key string) *budgetShard {
	return &b.shards[xxhash.Sum64String(key)%budgetShards]
}

// balance returns the balance of a key. The caller must hold s.mu.
func (s *budgetShard) balance(key string) float64 {
	if s.balances == nil {
		s.balances = make(map[string]float64)
	}
	balance, ok := s.balances[key]
	if !ok {
		return initialBudget
	}
	return balance
}

// Success records a successful request, which adds percent/100 of a retry to the key's
// balance.
func (b *Budget) Success(key string, percent int) {
	shard := b.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	balance := shard.balance(key)
	shard.balances[key] = min(maxBudget, balance+float64(percent)/100)
}

// Spend deducts one retry from the key's balance. It returns false if the balance is less
// than one, and no retry may be made.
func (b *Budget) Spend(key string) bool {
	shard := b.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	balance := shard.balance(key)
	if balance < 1 {
		return false
	}
	shard.balances[key] = balance - 1
	return true
}

// Backoff returns a random, exponentially distributed delay before the nth retry, counted
// from one. The mean doubles with each of the first ten further retries and then stays the
// same, so that it can't overflow. No delay exceeds maxBackoff.
func Backoff(n int) time.Duration {
	mean := baseBackoff << min(n-1, 10)
	return min(maxBackoff, time.Duration(rand.ExpFloat64()*float64(mean)))
}
