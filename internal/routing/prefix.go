package routing

const (
	// maxPrefixes bounds the prompt blocks remembered of each back end,
	// maxPromptBlocks those taken of one prompt.
	maxPrefixes     = 2048
	maxPromptBlocks = 32
)

// prefixMemory remembers the prompt blocks that were sent to a back end last
// and so are likely in its cache. Oldest blocks are forgotten first.
type prefixMemory struct {
	held map[uint64]bool
	ring []uint64
	next int
}

func (p *prefixMemory) add(blocks []uint64) {
	for _, block := range blocks[:min(len(blocks), maxPromptBlocks)] {
		if p.held[block] {
			continue
		}
		if p.held == nil {
			p.held = make(map[uint64]bool)
		}
		if len(p.ring) < maxPrefixes {
			p.ring = append(p.ring, block)
		} else {
			delete(p.held, p.ring[p.next])
			p.ring[p.next] = block
			p.next = (p.next + 1) % maxPrefixes
		}
		p.held[block] = true
	}
}

// match counts the leading blocks that are likely in the cache.
func (p *prefixMemory) match(blocks []uint64) int {
	for index, block := range blocks[:min(len(blocks), maxPromptBlocks)] {
		if !p.held[block] {
			return index
		}
	}
	return min(len(blocks), maxPromptBlocks)
}
