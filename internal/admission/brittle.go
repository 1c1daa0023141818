package admission

import "time"

// A brittle server fails once it has to reject more requests in a second than it announced. Nodes
// bound what it may have to reject: each request counts from its send until the server is known to
// have accepted it, and for a second more if the server rejected it. A server that is silent has not
// accepted anything: it may reject all of it once it goes on.

const (
	// RejectionTime is how long after a send a server that rejects a request has done so.
	RejectionTime = 50 * time.Millisecond
	// rejectionWindow is the time over which rejections are summed. It exceeds the second over which
	// the server sums them, since rejections are noticed later than they happen.
	rejectionWindow = 1200 * time.Millisecond
	// RiskLifetime is the time after which a send whose outcome was never reported counts as rejected.
	RiskLifetime = 500 * time.Millisecond
	// nodeRejectionShare of the announced number is divided among the nodes where each gets at least
	// one, and coordinatedRejectionShare is what a coordinator grants: two nodes may take themselves
	// for the coordinator for a moment.
	nodeRejectionShare        = 0.8
	coordinatedRejectionShare = 0.5
	// maxLedgerPause is the longest pause between two calls of Observe after which a ledger is still
	// complete.
	maxLedgerPause = 800 * time.Millisecond
)

// RejectionBound bounds what one brittle server may have to reject in a second.
type RejectionBound struct {
	// PerSecond is the number that the server announced.
	PerSecond int
}

// PerNode returns how many rejections in a second each of the nodes may cause on its own, 0 if there
// are too many nodes.
func (b RejectionBound) PerNode(nodes int) int {
	return int(nodeRejectionShare * float64(b.PerSecond) / float64(max(1, nodes)))
}

// Coordinated returns how many rejections in a second a coordinator may allow all nodes together.
func (b RejectionBound) Coordinated() int {
	return max(1, int(coordinatedRejectionShare*float64(b.PerSecond)))
}

// RejectionLedger counts the sends to brittle servers that may be rejected, and the rejections, by
// account. It is not safe for concurrent use.
type RejectionLedger struct {
	accounts map[string]*rejectionAccount
	// completeFrom is the time from which the ledger knows all sends that still count.
	completeFrom, observedAt time.Time
}

type rejectionAccount struct {
	// pending holds the times of the sends without a known outcome, and rejected those of rejections.
	pending, rejected []time.Time
}

// NewRejectionLedger returns a ledger of sends that nobody else has granted before.
func NewRejectionLedger() *RejectionLedger {
	return &RejectionLedger{accounts: make(map[string]*rejectionAccount)}
}

// Take records a send if fewer than limit sends of the account may be rejected within a second.
// Otherwise it returns when one may be possible.
func (l *RejectionLedger) Take(now time.Time, account string, limit int) (ok bool, retryAfter time.Duration) {
	if now.Before(l.completeFrom) {
		return false, l.completeFrom.Sub(now)
	}
	current := l.accountOf(account)
	current.expire(now)
	if len(current.pending)+len(current.rejected) < limit {
		current.pending = append(current.pending, now)
		return true, 0
	}
	if len(current.pending) > 0 {
		return false, RejectionTime
	}
	if len(current.rejected) > 0 {
		return false, current.rejected[0].Add(rejectionWindow).Sub(now)
	}
	return false, rejectionWindow
}

// Accept records that the server did not reject one of the sends.
func (l *RejectionLedger) Accept(account string) {
	if current := l.accountOf(account); len(current.pending) > 0 {
		current.pending = current.pending[1:]
	}
}

// Reject records a rejection. hadAccepted is set if the send was taken for accepted before.
func (l *RejectionLedger) Reject(now time.Time, account string, hadAccepted bool) {
	current := l.accountOf(account)
	if !hadAccepted && len(current.pending) > 0 {
		current.pending = current.pending[1:]
	}
	current.rejected = append(current.rejected, now)
}

// Observe must be called several times a second by a coordinator. After a pause another one may have
// granted sends, and nothing is granted until these have expired.
func (l *RejectionLedger) Observe(now time.Time, isCoordinator bool) {
	if !isCoordinator || now.Sub(l.observedAt) > maxLedgerPause {
		clear(l.accounts)
		l.completeFrom = now.Add(rejectionWindow)
	}
	l.observedAt = now
}

// Prune drops the accounts in which nothing counts any more.
func (l *RejectionLedger) Prune(now time.Time) {
	for name, account := range l.accounts {
		account.expire(now)
		if len(account.pending)+len(account.rejected) == 0 {
			delete(l.accounts, name)
		}
	}
}

func (l *RejectionLedger) accountOf(name string) *rejectionAccount {
	account, ok := l.accounts[name]
	if !ok {
		account = &rejectionAccount{}
		l.accounts[name] = account
	}
	return account
}

// expire turns sends without an outcome into rejections, and drops rejections that count no more.
func (a *rejectionAccount) expire(now time.Time) {
	for len(a.pending) > 0 && now.Sub(a.pending[0]) > RiskLifetime {
		a.rejected = append(a.rejected, a.pending[0].Add(RiskLifetime))
		a.pending = a.pending[1:]
	}
	for len(a.rejected) > 0 && now.Sub(a.rejected[0]) > rejectionWindow {
		a.rejected = a.rejected[1:]
	}
}

// NewRejectionFallback returns the allowance for brittle servers of the node with that address, for
// when no coordinator answers.
func NewRejectionFallback(node string) *FallbackAllowance {
	return newFallbackAllowance(node, rejectionWindow)
}
