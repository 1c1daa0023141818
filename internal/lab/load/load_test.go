package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

func object(t *testing.T, kind spec.Kind, name string, labels map[string]string, value any) objectstore.Object {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return objectstore.Object{Kind: string(kind), Name: name, Labels: labels, Version: 1, Spec: encoded}
}

func declaredObjects(t *testing.T) []objectstore.Object {
	t.Helper()
	model := spec.Model{Versions: []spec.ModelVersion{{Name: "v1"}, {Name: "v2"}}}
	urgent := map[string]string{"task": "urgent"}
	return []objectstore.Object{
		object(t, spec.KindModel, "menu", nil, model),
		object(t, spec.KindModel, "chat", nil, model),
		object(t, spec.KindAdapter, "nuts", nil, spec.Adapter{Model: "menu"}),
		object(t, spec.KindDeployment, "menu-nuts", urgent, spec.Deployment{
			Model: "menu", Adapter: "nuts",
			Versions: []spec.WeightedVersion{{Name: "v1", Weight: 1}, {Name: "v2"}},
		}),
		object(t, spec.KindDeployment, "chat-plain", nil, spec.Deployment{Model: "chat"}),
		object(t, spec.KindSelector, "urgent", nil, spec.Selector{
			Match:       spec.LabelSelector{MatchLabels: urgent},
			Deployments: spec.LabelSelector{MatchLabels: urgent},
			Deadline:    spec.Duration(7 * time.Second),
		}),
		object(t, spec.KindService, "boxes", nil, spec.Service{PathPrefix: "/boxes/"}),
		object(t, spec.KindCapacity, "keep", nil, spec.Capacity{
			Deployments: spec.LabelSelector{MatchLabels: urgent}, Replicas: 1,
		}),
	}
}

func TestClassesFollowTheDeclarations(t *testing.T) {
	classes, err := ReadClasses(declaredObjects(t))
	if err != nil {
		t.Fatal(err)
	}
	menu := []history.Target{{Model: fleet.ModelVersion{Model: "menu", Version: "v1"}, Adapter: "nuts"}}
	expected := Classes{
		Models: []Class{
			{Name: "deployment/chat-plain", Model: "chat-plain", Deadline: 30 * time.Second,
				Targets: []history.Target{{Model: fleet.ModelVersion{Model: "chat", Version: "v2"}}}},
			{Name: "deployment/menu-nuts", Model: "menu-nuts", Deadline: 30 * time.Second, Targets: menu, Standing: true},
			{Name: "selector/urgent", Model: "any", Labels: map[string]string{"task": "urgent"}, Deadline: 7 * time.Second,
				Targets: menu, Standing: true},
		},
		Services: []Class{{Name: "service/boxes", PathPrefix: "/boxes/", Deadline: 5 * time.Second}},
	}
	if difference := cmp.Diff(expected, classes, cmpopts.EquateEmpty()); difference != "" {
		t.Errorf("classes (-expected +got):\n%s", difference)
	}
}

func planOptions(t *testing.T, seed uint64) PlanOptions {
	t.Helper()
	classes, err := ReadClasses(declaredObjects(t))
	if err != nil {
		t.Fatal(err)
	}
	profile, err := FindProfile("fjordkurv")
	if err != nil {
		t.Fatal(err)
	}
	return PlanOptions{
		Seed: seed, RunID: "r", Nodes: []string{"n1", "n2", "n3"}, Classes: classes,
		Profile: profile, Duration: 20 * time.Second, Rate: 50,
	}
}

func TestPlanIsDrawnFromItsSeed(t *testing.T) {
	first, second := Plan(planOptions(t, 1)), Plan(planOptions(t, 1))
	if difference := cmp.Diff(first, second); difference != "" {
		t.Errorf("the same seed produced different plans:\n%s", difference)
	}
	if cmp.Equal(first, Plan(planOptions(t, 2))) {
		t.Error("different seeds produced the same plan")
	}
}

func TestPlanHasBurstsAndRepeats(t *testing.T) {
	plan := Plan(planOptions(t, 1))
	burstNodes := make(map[string]bool)
	sameMoment := make(map[string]map[string]bool)
	steady := 0
	for _, call := range plan {
		switch call.Phase {
		case PhaseBurst:
			if call.Class.Model != "chat-plain" {
				t.Errorf("burst requests %s, which has standing replicas", call.Class.Name)
			}
			burstNodes[call.Node] = true
		case PhaseRepeat:
			moment := fmt.Sprint(call.Key, call.At)
			if sameMoment[moment] == nil {
				sameMoment[moment] = make(map[string]bool)
			}
			sameMoment[moment][call.Node] = true
		case PhaseSteady:
			steady++
			if call.Class.Model == "chat-plain" {
				t.Error("steady traffic requests the model reserved for the burst")
			}
		}
	}
	if len(burstNodes) != 3 {
		t.Errorf("burst reaches %d nodes, expected 3", len(burstNodes))
	}
	mostNodes := 0
	for _, nodes := range sameMoment {
		mostNodes = max(mostNodes, len(nodes))
	}
	if mostNodes != 3 {
		t.Errorf("key sent through at most %d nodes at the same time, expected 3", mostNodes)
	}
	if steady < 850 || steady > 1150 {
		t.Errorf("%d steady calls in 20 s at 50 per second", steady)
	}
}

// slowSender takes an hour for each call and records when it was sent.
type slowSender struct{ start time.Time }

func (s slowSender) Send(_ context.Context, call Call, id fleet.RequestID) history.Record {
	record := history.Record{RequestID: id, Node: call.Node, Sent: time.Now(), Outcome: history.Answered}
	time.Sleep(time.Hour)
	return record
}

func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		plan := []Call{{At: 0}, {At: time.Second}, {At: time.Second}, {At: 5 * time.Second}}
		records := Run(t.Context(), plan, RunOptions{RunID: "r", Sender: slowSender{start: start}})
		for index, record := range records {
			if sent := record.Sent.Sub(start); sent != plan[index].At {
				t.Errorf("call %d was sent at %s, planned at %s", index, sent, plan[index].At)
			}
		}
	})
}

// refusingSender reports one node as unreachable.
type refusingSender struct{ down string }

func (s refusingSender) Send(_ context.Context, call Call, id fleet.RequestID) history.Record {
	if call.Node == s.down {
		return history.Record{RequestID: id, Node: call.Node, Outcome: history.Unreachable}
	}
	return history.Record{RequestID: id, Node: call.Node, Outcome: history.Answered}
}

func TestCallersTurnAwayFromANodeThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := []Call{{At: 0, Node: "n1"}, {At: time.Second, Node: "n1"}, {At: 2 * time.Second, Node: "n2"}}
		records := Run(t.Context(), plan, RunOptions{
			Sender: refusingSender{down: "n1"}, Nodes: []string{"n1", "n2", "n3"},
		})
		var asked []string
		for _, record := range records {
			asked = append(asked, record.Node)
		}
		if difference := cmp.Diff([]string{"n1", "n2", "n2"}, asked); difference != "" {
			t.Error(difference)
		}
	})
}

const (
	streamStart = `data: {"id":"x","choices":[{"delta":{"role":"assistant","content":" one"}}]}` + "\n\n" +
		`data: {"choices":[{"delta":{"content":" two"}}]}` + "\n\n"
	streamFinish = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	streamEnd    = "data: [DONE]\n\n"
	streamError  = "event: error\ndata: {\"outcome\":\"unknown\",\"code\":\"engine-lost\"}\n\n"
)

func TestAnswersAreRead(t *testing.T) {
	stream, whole, command := history.KindStream, history.KindWhole, history.KindCommand
	const events, problem = "text/event-stream", "application/problem+json"
	cases := []struct {
		name        string
		kind        history.Kind
		status      int
		contentType string
		body        string
		outcome     history.Outcome
		ends        int
		text        string
	}{
		{"complete stream", stream, 200, events, streamStart + streamFinish + streamEnd, history.Answered, 1, " one two"},
		{"connection closed without a finish", stream, 200, events, streamStart, history.Broken, 0, " one two"},
		{"no finish reason", stream, 200, events, streamStart + streamEnd, history.Malformed, 0, " one two"},
		{"error event", stream, 200, events, streamStart + streamError, history.Unknown, 1, " one two"},
		{"error after the finish", stream, 200, events, streamStart + streamFinish + streamError, history.Unknown, 2, " one two"},
		{"text after the end", stream, 200, events, streamStart + streamFinish + streamEnd + streamStart, history.Answered, 3, " one two"},
		{"refusal", stream, 503, problem, `{"outcome":"not-run","code":"overloaded"}`, history.NotRun, 1, ""},
		{"refusal without an outcome", stream, 503, problem, `{"code":"overloaded"}`, history.Malformed, 0, ""},
		{"error without a refusal", command, 500, "text/plain", "oops", history.Malformed, 0, ""},
		{"non-streamed chat answer", whole, 200, "application/json", `{"choices":[{"message":{"content":"hello"},"finish_reason":"stop"}]}`, history.Answered, 1, "hello"},
		{"non-streamed answer without a choice", whole, 200, "application/json", `{"choices":[]}`, history.Malformed, 1, ""},
		{"service answer", command, 200, "application/json", `{"executed":1}`, history.Answered, 1, `{"executed":1}`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Type", test.contentType)
				writer.WriteHeader(test.status)
				fmt.Fprint(writer, test.body)
			}))
			defer server.Close()
			call := Call{
				Node: strings.TrimPrefix(server.URL, "http://"), Kind: test.kind, Method: http.MethodPost,
				Path: pathChat, Class: Class{Model: "m", Deadline: time.Minute},
			}
			record := NewClient().Send(t.Context(), call, "id")
			if record.Outcome != test.outcome || record.Ends != test.ends || record.Text != test.text {
				t.Errorf("got %s with %d ends and text %q (%s), expected %s with %d and %q",
					record.Outcome, record.Ends, record.Text, record.Error, test.outcome, test.ends, test.text)
			}
		})
	}
}

func TestForeignPieceOfAStreamIsNoted(t *testing.T) {
	piece := `data: {"id":%q,"choices":[{"delta":{"content":" x"}}]}` + "\n\n"
	record := history.Record{RequestID: "own"}
	readStream(t.Context(), &record, strings.NewReader(
		fmt.Sprintf(piece, "own")+fmt.Sprintf(piece, "other")+fmt.Sprintf(piece, "own")+streamFinish+streamEnd))
	if record.AnswerID != "other" {
		t.Errorf("got answer ID %q, expected \"other\"", record.AnswerID)
	}
}

func TestConnectionsThatFail(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for address, expected := range map[string]history.Outcome{
		broken.URL: history.Broken,
		closed.URL: history.Unreachable,
	} {
		call := Call{Node: strings.TrimPrefix(address, "http://"), Kind: history.KindCommand, Method: http.MethodPost, Path: "/x", Class: Class{Deadline: time.Minute}}
		if record := NewClient().Send(t.Context(), call, "id"); record.Outcome != expected {
			t.Errorf("got %s, expected %s (%s)", record.Outcome, expected, record.Error)
		}
	}
}

// TestKeyedCommandIsSentOnce guards against automatic retries by net/http, which
// treats a request with an Idempotency-Key as safe to repeat.
func TestKeyedCommandIsSentOnce(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if received.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(writer, "{}")
	}))
	defer server.Close()
	client := NewClient()
	call := Call{Node: strings.TrimPrefix(server.URL, "http://"), Kind: history.KindCommand, Method: http.MethodPost, Path: "/x", Key: "k", Class: Class{Deadline: time.Minute}}
	client.Send(t.Context(), call, "first")
	client.Send(t.Context(), call, "second")
	if received.Load() != 2 {
		t.Errorf("two calls reached the server %d times", received.Load())
	}
}
