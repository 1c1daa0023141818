package routing

const (
	// maxPrefixes bounds the prompt blocks tracked for each back end, maxPromptBlocks those used of
	// one prompt.
	maxPrefixes     = 2048
	maxPromptBlocks = 32
)

// prefixHistory tracks the prompt blocks last sent to a back end, which are likely in its cache.
// The oldest blocks are dropped first.
type prefixHistory struct {
	known map[uint64]bool
	ring  []uint64
	next  int
}

func (p *prefixHistory) add(blocks []uint64) {
	for _, block := range blocks[:min(len(blocks), maxPromptBlocks)] {
		if p.known[block] {
			continue
		}
		if p.known == nil {
			p.known = make(map[uint64]bool)
		}
		if len(p.ring) < maxPrefixes {
			p.ring = append(p.ring, block)
		} else {
			delete(p.known, p.ring[p.next])
			p.ring[p.next] = block
			p.next = (p.next + 1) % maxPrefixes
		}
		p.known[block] = true
	}
}

// match returns the number of leading blocks that are likely in the cache.
func (p *prefixHistory) match(blocks []uint64) int {
	for index, block := range blocks[:min(len(blocks), maxPromptBlocks)] {
		if !p.known[block] {
			return index
		}
	}
	return min(len(blocks), maxPromptBlocks)
}
