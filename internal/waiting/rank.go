package waiting

const (
	// LowestRank is the least urgent rank that can be said.
	LowestRank = 9
	// ranksOfTenant is the number of ranks of one priority of tenants: among requests of
	// tenants of one priority the routes' priorities decide, up to that many.
	ranksOfTenant = 3
)

// Rank is the order of a request at its server, 0 first: by its route's priority, and
// among those of one priority who came back goes before who is new.
func Rank(priority int, returned bool) int {
	rank := 2 * priority
	if !returned {
		rank++
	}
	return min(LowestRank, rank)
}

// TenantRank is the order of a request whose tenant has a priority, which goes before
// that of the route.
func TenantRank(tenant, route int) int {
	return min(LowestRank, ranksOfTenant*tenant+min(route, ranksOfTenant-1))
}
