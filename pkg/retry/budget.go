package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of a Budget and of Backoff.
const (
	// budgetFloor is how many retries a key may make before it has successes.
	budgetFloor = 10
	// budgetCeiling bounds what a key can save up.
	budgetCeiling = 50
	// baseBackoff is the mean pause before the first retry.
	baseBackoff = 20 * time.Millisecond
	// maxBackoff bounds the pause before a retry.
	maxBackoff = time.Second

	budgetShards = 16
)

// Budget allows retries as a share of successes, for each key by itself. The
// zero value is ready to use.
type Budget struct {
	shards [budgetShards]budgetShard
}

// budgetShard holds the balances of some of the keys, in retries.
type budgetShard struct {
	mu       sync.Mutex
	balances map[string]float64
}

func (b *Budget) shard(key string) *budgetShard {
	return &b.shards[xxhash.Sum64String(key)%budgetShards]
}

func (s *budgetShard) balance(key string) float64 {
	if s.balances == nil {
		s.balances = make(map[string]float64)
	}
	balance, ok := s.balances[key]
	if !ok {
		return budgetFloor
	}
	return balance
}

// Success adds percent hundredths of a retry to the key's balance.
func (b *Budget) Success(key string, percent int) {
	shard := b.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	balance := shard.balance(key)
	shard.balances[key] = min(budgetCeiling, balance+float64(percent)/100)
}

// Spend takes one retry from the key's balance. It reports false if there is
// none, and then no retry may be made.
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

// Backoff returns a random pause before the nth retry, counted from one. Its
// mean doubles with each retry.
func Backoff(n int) time.Duration {
	mean := baseBackoff << min(n-1, 10)
	return min(maxBackoff, time.Duration(rand.ExpFloat64()*float64(mean)))
}
