package spec

import (
	"fmt"
	"strings"
)

// remedyForName suggests the known name closest to the given one, or lists the known names.
func remedyForName(given string, known []string) string {
	best, bestDistance := "", len(given)/2+1
	for _, name := range known {
		if distance := editDistance(strings.ToLower(given), strings.ToLower(name)); distance < bestDistance {
			best, bestDistance = name, distance
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q", best)
	}
	return "known are " + strings.Join(known, ", ")
}

// editDistance returns the Levenshtein distance between two texts, in bytes.
func editDistance(left, right string) int {
	row := make([]int, len(right)+1)
	for column := range row {
		row[column] = column
	}
	for leftIndex := range len(left) {
		diagonal := row[0]
		row[0] = leftIndex + 1
		for rightIndex := range len(right) {
			substituted := diagonal
			if left[leftIndex] != right[rightIndex] {
				substituted++
			}
			diagonal = row[rightIndex+1]
			row[rightIndex+1] = min(substituted, row[rightIndex]+1, diagonal+1)
		}
	}
	return row[len(right)]
}
