package scale

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// Outcome counts what the load did.
type Outcome struct {
	Sent     int64 `json:"sent"`
	Failed   int64 `json:"failed"`
	Commands int64 `json:"commands"`
	Wakes    int64 `json:"wakes"`
	Changes  int64 `json:"changes"`
	// InForceMillis is the mean time from the write of a change until every
	// node has it in force, SlowestMillis the longest.
	InForceMillis float64 `json:"inForceMillis"`
	SlowestMillis float64 `json:"slowestMillis"`
}

// load puts work on a fleet at even intervals, without waiting for answers.
type load struct {
	setup   Setup
	outside *standIns
	nodes   []hollow
	client  *http.Client

	cancel  context.CancelFunc
	running sync.WaitGroup
	once    sync.Once

	sent, failed, commands, wakes atomic.Int64

	mutex   sync.Mutex
	inForce []time.Duration
}

func startLoad(ctx context.Context, setup Setup, outside *standIns, nodes []hollow) *load {
	ctx, cancel := context.WithCancel(ctx)
	created := &load{
		setup: setup, outside: outside, nodes: nodes, cancel: cancel,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 32,
		}},
	}
	created.every(ctx, setup.RequestsPerSecond, func(ctx context.Context, index int) {
		created.complete(ctx, index, modelName(index%setup.Models))
	})
	created.every(ctx, setup.CommandsPerSecond, created.command)
	created.every(ctx, setup.WakesPerHour/3600, func(ctx context.Context, index int) {
		created.wakes.Add(1)
		woken := int(outside.woken.Add(1))
		created.complete(ctx, index, adapterName(woken%setup.Adapters))
	})
	created.every(ctx, setup.ChangesPerMinute/60, created.change)
	return created
}

// every runs the function at an even rate, each time on its own.
func (l *load) every(ctx context.Context, perSecond float64, run func(context.Context, int)) {
	if perSecond <= 0 {
		return
	}
	l.running.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for index := 0; ; index++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				l.running.Go(func() { run(ctx, index) })
			}
		}
	})
}

// stop ends the load and returns what it did.
func (l *load) stop() Outcome {
	l.once.Do(func() {
		l.cancel()
		l.running.Wait()
		l.client.CloseIdleConnections()
	})
	outcome := Outcome{
		Sent: l.sent.Load(), Failed: l.failed.Load(), Commands: l.commands.Load(), Wakes: l.wakes.Load(),
		Changes: int64(len(l.inForce)),
	}
	for _, took := range l.inForce {
		milliseconds := float64(took) / float64(time.Millisecond)
		outcome.InForceMillis += milliseconds / float64(len(l.inForce))
		outcome.SlowestMillis = max(outcome.SlowestMillis, milliseconds)
	}
	return outcome
}

// tokensPerAnswer keeps the engines' part of the work small.
const tokensPerAnswer = 8

func (l *load) complete(ctx context.Context, index int, deployment string) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"request %d"}]}`,
		deployment, tokensPerAnswer, index)
	l.send(ctx, index, "/v1/chat/completions", "", body)
}

func (l *load) command(ctx context.Context, index int) {
	l.commands.Add(1)
	l.send(ctx, index, commandPrefix+"7/yaw", fmt.Sprint("scale-", time.Now().UnixNano(), "-", index), `{}`)
}

func (l *load) send(ctx context.Context, index int, path, key, body string) {
	target := l.nodes[index%len(l.nodes)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.caller+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	l.sent.Add(1)
	response, err := l.client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if ctx.Err() == nil && (err != nil || response.StatusCode != http.StatusOK) {
		l.failed.Add(1)
	}
}

// inForcePoll is how often it is looked whether a change is in force.
const inForcePoll = 2 * time.Millisecond

// change writes one adapter's deployment anew and waits until it is in force.
func (l *load) change(ctx context.Context, index int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	object, err := l.changedObject(index)
	started := time.Now()
	if err == nil {
		err = l.outside.put(ctx, object)
	}
	if err != nil {
		return
	}
	version := l.outside.versions[object.Key()]
	for !l.allHave(version) {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(inForcePoll)
	}
	l.inForce = append(l.inForce, time.Since(started))
}

func (l *load) allHave(version uint64) bool {
	for _, each := range l.nodes {
		if snapshot, found := each.node.Views().Catalog.Get(); !found || snapshot.Version() < version {
			return false
		}
	}
	return true
}

// changedObject is a declared deployment with another label.
func (l *load) changedObject(index int) (objectstore.Object, error) {
	objects, err := declarations(Setup{Models: l.setup.Models, Adapters: index%l.setup.Adapters + 1})
	if err != nil {
		return objectstore.Object{}, err
	}
	object := objects[len(objects)-1]
	object.Labels["revision"] = fmt.Sprint(index)
	return object, nil
}

// declare writes all objects of a setup and returns the last version.
func (s *standIns) declare(ctx context.Context, setup Setup) (uint64, error) {
	objects, err := declarations(setup)
	if err != nil {
		return 0, err
	}
	var last uint64
	for _, object := range objects {
		if err := s.put(ctx, object); err != nil {
			return 0, err
		}
		last = s.versions[object.Key()]
	}
	return last, nil
}
