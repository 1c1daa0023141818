package catalog

import (
	"encoding/json"
	"testing"

	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// TestRoutesAreBoundToTheirRegions checks that routes have the declared regions, and that an
// empty list allows no region: the apply command rejects one, but other writers may store it.
func TestRoutesAreBoundToTheirRegions(t *testing.T) {
	raw := func(kind spec.Kind, name, text string) objectstore.Object {
		return objectstore.Object{Kind: string(kind), Name: name, Version: 1, Spec: json.RawMessage(text)}
	}
	for _, test := range []struct {
		bound string
		want  locality.Regions
	}{
		{`{}`, locality.Regions{}},
		{`{"regions":["north"]}`, locality.Only("north")},
		{`{"regions":["west","north"]}`, locality.Only("north", "west")},
		{`{"regions":[]}`, locality.Only()},
	} {
		var fields map[string]any
		if err := json.Unmarshal([]byte(test.bound), &fields); err != nil {
			t.Fatal(err)
		}
		with := func(added map[string]any) string {
			for key, value := range fields {
				added[key] = value
			}
			text, err := json.Marshal(added)
			if err != nil {
				t.Fatal(err)
			}
			return string(text)
		}
		snapshot := mustCompile(t, append(reportObjects(t),
			raw(spec.KindRegion, "north", `{"zones":["a","b"]}`),
			raw(spec.KindSelector, "bound", with(map[string]any{"match": map[string]any{"matchLabels": map[string]string{"bound": "yes"}},
				"deployments": map[string]any{"matchLabels": map[string]string{"use": "chat"}}, "precedence": 9})),
			raw(spec.KindService, "bound", with(map[string]any{"pathPrefix": "/bound/"})),
		))
		model, _ := snapshot.ModelRoute(map[string]string{"bound": "yes"})
		service, _ := snapshot.ServiceRoute("GET", "/bound/1")
		selected, _ := snapshot.SelectorRegions("bound")
		called, _ := snapshot.ServiceRegions("bound")
		for name, got := range map[string]locality.Regions{"model": model.Regions, "service": service.Regions, "selector": selected, "called": called} {
			if got != test.want {
				t.Errorf("%s of %s: got %s, want %s", name, test.bound, got, test.want)
			}
		}
		if snapshot.Topology().Region("b") != "north" || snapshot.Topology().Region("c") != "" {
			t.Errorf("got regions %q and %q of zones b and c, want north and none", snapshot.Topology().Region("b"), snapshot.Topology().Region("c"))
		}
	}
}
