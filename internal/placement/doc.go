// Package placement is the core that decides which models are loaded on which
// engines of a zone, within the zone's allotment and the engines' memory.
//
// It may import fleet, catalog and backend's wire types.
package placement
