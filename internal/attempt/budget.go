package attempt

// Budget bounds the retries of a node to a share of its traffic, so that a
// wide fault is not made worse by retries. It is not safe for concurrent use.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// Defaults of a Budget.
const (
	DefaultRetryShare = 0.1
	DefaultRetryBurst = 20
)

// NewBudget returns a full budget: each request earns share of a retry, and at
// most burst retries are saved up.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Earn counts a request's first attempt.
func (b *Budget) Earn() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Spend takes one retry and reports whether it was there.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
