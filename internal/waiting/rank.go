package waiting

const (
	// LowestRank is the least urgent rank that a request can be sent with.
	LowestRank = 9
	// ranksPerTenantPriority is the number of ranks for each tenant priority. Requests of
	// tenants of equal priority are ordered by route priority, at most that many of which
	// are distinguished.
	ranksPerTenantPriority = 3
)

// Rank returns the position of a request in the order of its server, 0 first. Requests are
// ordered by route priority; at equal priority, retries go before first attempts.
func Rank(priority int, isRetry bool) int {
	rank := 2 * priority
	if !isRetry {
		rank++
	}
	return min(LowestRank, rank)
}

// TenantRank returns the position of a request whose tenant has a priority. The tenant's
// priority takes precedence over the route's.
func TenantRank(tenantPriority, routePriority int) int {
	return min(LowestRank, ranksPerTenantPriority*tenantPriority+min(routePriority, ranksPerTenantPriority-1))
}
