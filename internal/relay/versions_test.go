package relay

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// breakingStream returns a responder that writes events up to the first or, of a resumed stream, the
// last, and then resets the connection or ends the response.
func breakingStream(version string) responder {
	return func(conn net.Conn, request *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		if request.Header.Get("X-Last") == "" {
			write(conn, chunk("id: 1\ndata: "+version+"\n\n"))
			return reset(conn)
		}
		write(conn, chunk("id: 2\ndata: "+version+"\n\n")+"0\r\n\r\n")
		return true
	}
}

// wholeStream returns a responder that writes both events of a stream.
func wholeStream(version string) responder {
	return func(conn net.Conn, request *http.Request) bool {
		first := "id: 1\ndata: " + version + "\n\n"
		if request.Header.Get("X-Last") != "" {
			first = ""
		}
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(first+"id: 2\ndata: "+version+"\n\n")+"0\r\n\r\n")
		return true
	}
}

// setVersions gives the fixture's servers their software versions, in order.
func (f *fixture) setVersions(servers []*fakeServer, versions ...string) {
	var changes []inventory.Change
	for i, s := range servers {
		changes = append(changes, inventory.Change{Server: inventory.Server{
			ID: "s" + string(rune('0'+i)), Service: "svc", Address: s.address, Zone: "z", Slots: 8, SoftwareVersion: versions[i],
		}})
	}
	f.dispatch.Do(func(core *dispatch.Core) { core.SetServers(changes) })
}

// TestBrokenStreamGoesOnAtItsSoftwareVersion guards against answers that hold events of servers of two
// software versions.
func TestBrokenStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	cases := map[string]struct {
		versions []string
		goesOn   bool
	}{
		"another server of its version":     {versions: []string{"v1", "v2", "v1"}, goesOn: true},
		"no other server of its version":    {versions: []string{"v1", "v2", "v3"}},
		"a server whose version is unknown": {versions: []string{"v1", "", "v2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for range 8 {
				servers := []*fakeServer{
					newFakeServer(t, breakingStream(c.versions[0])), newFakeServer(t, wholeStream(c.versions[1])), newFakeServer(t, wholeStream(c.versions[2])),
				}
				f := newFixture(t, servers...)
				f.setVersions(servers, c.versions...)
				got := f.send(t, http.MethodPost, "/resume/", "")
				var seen []string
				for line := range strings.Lines(got.body) {
					if version, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok && !slices.Contains(seen, version) {
						seen = append(seen, version)
					}
				}
				if len(seen) > 1 {
					t.Fatalf("one answer holds events of versions %q", seen)
				}
				if begunAtFirst := slices.Contains(seen, c.versions[0]) && servers[0].count() > 0; begunAtFirst && (got.err == nil) != c.goesOn {
					t.Errorf("got %+v, want a whole answer: %v", got, c.goesOn)
				}
			}
		})
	}
}
