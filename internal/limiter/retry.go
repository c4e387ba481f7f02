package limiter

// RetryBudget limits retries to a share of all first starts.
type RetryBudget struct {
	tokens float64
}

const (
	retryTokensPerStart = 0.1
	maxRetryTokens      = 50
)

// NewRetryBudget returns a budget that allows a few retries before the first start.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxRetryTokens / 5}
}

// Start credits the budget for one first start.
func (b *RetryBudget) Start() {
	b.tokens = min(maxRetryTokens, b.tokens+retryTokensPerStart)
}

// Take spends one retry and reports whether the budget allowed it.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
