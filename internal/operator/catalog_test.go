package operator

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// TestCatalogTakesWhatValidatePasses guards against a difference between the two
// checks of declarations: a node must not reject an object that passes
// validation.
func TestCatalogTakesWhatValidatePasses(t *testing.T) {
	routes := map[string]map[string]fleet.DeploymentName{
		"fjordkurv": {"chat": "ingredient-chat", "box-swap": "box-swap", "replan": "overnight-replan"},
		"holmgaard": {"alarm": "alarm-note", "fault-report": "fault-report", "letter": "owner-letters"},
	}
	for folder, jobs := range routes {
		set, findings := spec.Load([]string{"../../examples/" + folder})
		if err := findings.Err(); err != nil {
			t.Fatal(err)
		}
		var objects []objectstore.Object
		for index, declared := range set.Objects() {
			object := desiredObject(declared, folder)
			object.Version = uint64(index + 1)
			objects = append(objects, object)
		}
		snapshot, problems := catalog.Compile(uint64(len(objects)), objects)
		for _, problem := range problems {
			t.Errorf("%s: %v", folder, problem)
		}
		for job, want := range jobs {
			route, found := snapshot.ModelRoute(map[string]string{"job": job, "model": "any"})
			if !found || route.Deployment != want {
				t.Errorf("%s: job=%s is routed to %q, want %q", folder, job, route.Deployment, want)
			}
		}
	}
}
