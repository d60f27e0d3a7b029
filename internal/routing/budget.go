package routing

// RetryBudget is a token bucket that limits retries to a fraction of the requests, so that
// retries do not multiply the load on a failing service.
type RetryBudget struct{ tokens float64 }

// The size of a retry budget.
const (
	// retriesPerRequest is the number of tokens, of one retry each, that a request adds.
	retriesPerRequest  = 0.1
	maxRetryTokens     = 50
	initialRetryTokens = 10
)

// NewRetryBudget returns a budget with initialRetryTokens.
func NewRetryBudget() RetryBudget { return RetryBudget{tokens: initialRetryTokens} }

// Deposit adds the tokens of one request.
func (b *RetryBudget) Deposit() { b.tokens = min(b.tokens+retriesPerRequest, maxRetryTokens) }

// Withdraw takes the token for one retry and reports whether there was one.
func (b *RetryBudget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
