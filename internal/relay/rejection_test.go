package relay

import (
	"net/http"
	"testing"
)

func TestFindRejectionEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		head   ResponseHead
		want   rejectionEvidence
	}{
		"marked":                          {http.StatusServiceUnavailable, ResponseHead{IsMarkedNotRun: true}, evidenceMarked},
		"marked, any status":              {http.StatusBadRequest, ResponseHead{IsMarkedNotRun: true}, evidenceMarked},
		"another server at the address":   {http.StatusMisdirectedRequest, ResponseHead{ServerID: "s1"}, evidenceOtherServer},
		"misdirected by the server":       {http.StatusMisdirectedRequest, ResponseHead{ServerID: "s0"}, evidenceStatusOnly},
		"misdirected by nobody knows who": {http.StatusMisdirectedRequest, ResponseHead{}, evidenceStatusOnly},
		"unavailable, not marked":         {http.StatusServiceUnavailable, ResponseHead{}, ""},
		"another server, other status":    {http.StatusServiceUnavailable, ResponseHead{ServerID: "s1"}, ""},
		"served":                          {http.StatusOK, ResponseHead{}, ""},
	} {
		if got := findRejectionEvidence("s0", c.status, c.head); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
