package attempt

// Budget limits the retries of a node to a fraction of its requests, so that retries do not amplify a
// widespread failure. It is not safe for concurrent use.
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

// NewBudget returns an empty budget, since what an earlier run of the process sent is not known: each request
// earns a share of a retry, and at most burst retries are saved.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst}
}

// Earn counts the first attempt of a request.
func (b *Budget) Earn() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Spend takes one retry and reports whether one was available.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
