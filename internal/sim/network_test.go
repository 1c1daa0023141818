package sim

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

type fixture struct {
	scheduler *Scheduler
	trace     *Trace
	network   *Network
	a, b      *Process
	starts    int
}

func newFixture(options LinkOptions) *fixture {
	fixture := &fixture{scheduler: NewScheduler()}
	fixture.trace = NewTrace(fixture.scheduler, nil)
	fixture.network = NewNetwork(fixture.scheduler, fixture.trace, NewStreams(1), options, options)
	fixture.a = fixture.process("a", "north")
	fixture.b = fixture.process("b", "south")
	return fixture
}

func (b *fixture) process(name, zone string) *Process {
	process := NewProcess(b.scheduler, b.trace, ProcessOptions{Name: name, Zone: zone, Start: func(uint64) { b.starts++ }})
	process.Start()
	return process
}

func (b *fixture) sendMany(count int, transport Transport) []int {
	var arrived []int
	for index := range count {
		b.network.Send(Message{From: b.a, To: b.b, Transport: transport, Kind: "m", Deliver: func() {
			arrived = append(arrived, index)
		}})
	}
	b.scheduler.Run(b.scheduler.Elapsed() + time.Minute)
	return arrived
}

var quickLink = LinkOptions{Least: time.Millisecond, Most: 3 * time.Millisecond}

func TestNetworkLosesDoublesAndReorders(t *testing.T) {
	lossy := quickLink
	lossy.Loss, lossy.Duplicate = 0.2, 0.1
	fixture := newFixture(lossy)
	arrived := fixture.sendMany(1000, Datagram)
	counts := fixture.network.Counts()
	if counts.Lost < 150 || counts.Lost > 250 || counts.Doubled < 40 || counts.Doubled > 160 {
		t.Errorf("of 1000: %+v", counts)
	}
	if uint64(len(arrived)) != 1000-counts.Lost+counts.Doubled {
		t.Errorf("%d arrived, counts %+v", len(arrived), counts)
	}
	overtaken := 0
	for index := 1; index < len(arrived); index++ {
		if arrived[index] < arrived[index-1] {
			overtaken++
		}
	}
	if overtaken == 0 {
		t.Error("no message overtook another")
	}
}

func TestConnectionIsNeverDoubled(t *testing.T) {
	options := quickLink
	options.Duplicate = 1
	if arrived := newFixture(options).sendMany(100, Connection); len(arrived) != 100 {
		t.Errorf("%d arrived; want 100", len(arrived))
	}
	if arrived := newFixture(options).sendMany(100, Resent); len(arrived) != 200 {
		t.Errorf("%d arrived; want 200", len(arrived))
	}
}

func TestCutsAreOneWayAndAddUp(t *testing.T) {
	fixture := newFixture(quickLink)
	fixture.network.CutZones("north", "south")
	fixture.network.Cut("a", "b")
	if arrived := fixture.sendMany(10, Datagram); len(arrived) != 0 {
		t.Errorf("%d arrived through a cut", len(arrived))
	}
	if fixture.network.IsCut(fixture.b, fixture.a) {
		t.Error("the reverse direction is cut")
	}
	fixture.network.HealZones("north", "south")
	if !fixture.network.IsCut(fixture.a, fixture.b) {
		t.Error("healing the zones healed the link")
	}
	fixture.network.Heal("a", "b")
	if arrived := fixture.sendMany(10, Datagram); len(arrived) != 10 {
		t.Errorf("%d of 10 arrived after the cut", len(arrived))
	}
}

func TestPausedProcessHoldsMessagesAndTimers(t *testing.T) {
	fixture := newFixture(quickLink)
	var seen []string
	fixture.b.Timer(Epoch.Add(10*time.Second), func() { seen = append(seen, "timer") })
	fixture.b.Pause()
	fixture.network.Send(Message{From: fixture.a, To: fixture.b, Kind: "m", Deliver: func() { seen = append(seen, "message") }})
	fixture.scheduler.Run(20 * time.Second)
	if len(seen) != 0 {
		t.Fatalf("a paused process ran %v", seen)
	}
	fixture.b.Resume()
	fixture.scheduler.Run(21 * time.Second)
	if difference := cmp.Diff([]string{"message", "timer"}, seen); difference != "" {
		t.Errorf("after the pause (-want +got):\n%s", difference)
	}
}

func TestDeathDropsWhatWasPlanned(t *testing.T) {
	fixture := newFixture(quickLink)
	fixture.b.Timer(Epoch.Add(time.Second), func() { t.Error("a timer of an earlier boot ran") })
	fixture.b.Pause()
	fixture.network.Send(Message{From: fixture.a, To: fixture.b, Kind: "m", Deliver: func() { t.Error("a message to an earlier boot was delivered") }})
	fixture.scheduler.Run(100 * time.Millisecond)
	fixture.b.Die()
	refused := false
	fixture.network.Send(Message{From: fixture.a, To: fixture.b, Kind: "m", Refused: func() { refused = true }})
	fixture.scheduler.Run(200 * time.Millisecond)
	fixture.b.Start()
	fixture.scheduler.Run(time.Minute)
	if !refused || fixture.starts != 3 || fixture.b.Boot() != 2 {
		t.Errorf("refused=%t starts=%d boot=%d", refused, fixture.starts, fixture.b.Boot())
	}
}

func TestWakerKeepsTheEarliestWake(t *testing.T) {
	fixture := newFixture(quickLink)
	var woken []time.Duration
	waker := NewWaker(fixture.a, func() { woken = append(woken, fixture.scheduler.Elapsed()) })
	waker.Set(Epoch.Add(5 * time.Second))
	waker.Set(Epoch.Add(2 * time.Second))
	waker.Set(Epoch.Add(9 * time.Second))
	fixture.scheduler.Run(time.Minute)
	if difference := cmp.Diff([]time.Duration{2 * time.Second}, woken); difference != "" {
		t.Errorf("woken (-want +got):\n%s", difference)
	}
	waker.Set(Epoch.Add(2 * time.Minute))
	fixture.a.Die()
	fixture.a.Start()
	waker.Set(Epoch.Add(3 * time.Minute))
	fixture.scheduler.Run(time.Hour)
	if len(woken) != 2 || woken[1] != 3*time.Minute {
		t.Errorf("woken at %v; want 2s and 3m0s", woken)
	}
}

func TestCallTellsRefusedAndTimedOutApart(t *testing.T) {
	fixture := newFixture(quickLink)
	call := func() CallOutcome {
		var got CallOutcome
		fixture.network.Call(Call{
			From: fixture.a, To: fixture.b, Kind: "call", Timeout: time.Second,
			Serve: func(reply func(any)) { reply("answer") },
			Done:  func(_ any, outcome CallOutcome) { got = outcome },
		})
		fixture.scheduler.Run(fixture.scheduler.Elapsed() + time.Minute)
		return got
	}
	if got := call(); got != Answered {
		t.Errorf("outcome = %d; want answered", got)
	}
	fixture.network.CutZones("south", "north")
	if got := call(); got != TimedOut {
		t.Errorf("answer cut: outcome = %d; want timed out", got)
	}
	fixture.network.HealZones("south", "north")
	fixture.b.Die()
	if got := call(); got != Refused {
		t.Errorf("receiver dead: outcome = %d; want refused", got)
	}
}

func TestStreamKeepsItsOrderUntilACut(t *testing.T) {
	options := LinkOptions{Least: time.Millisecond, Most: 50 * time.Millisecond, Loss: 0.2}
	fixture := newFixture(options)
	var arrived []int
	broken := 0
	stream := fixture.network.OpenStream(StreamOptions{From: fixture.a, To: fixture.b, ToBoot: fixture.b.Boot(), Detection: time.Second, Broken: func() { broken++ }})
	send := func(value int) { stream.Send("chunk", 1, func() { arrived = append(arrived, value) }) }
	for value := range 100 {
		send(value)
	}
	fixture.scheduler.Run(time.Minute)
	for index, value := range arrived {
		if index != value {
			t.Fatalf("chunk %d arrived at position %d", value, index)
		}
	}
	fixture.network.CutZones("north", "south")
	send(100)
	fixture.scheduler.Run(2 * time.Minute)
	fixture.network.HealZones("north", "south")
	send(101)
	fixture.scheduler.Run(3 * time.Minute)
	if len(arrived) != 100 || broken != 1 {
		t.Errorf("%d arrived, broken %d times; want 100 and once", len(arrived), broken)
	}
}

func TestStreamBreaksWithItsSender(t *testing.T) {
	fixture := newFixture(quickLink)
	broken := 0
	fixture.network.OpenStream(StreamOptions{From: fixture.a, To: fixture.b, ToBoot: fixture.b.Boot(), Broken: func() { broken++ }})
	fixture.a.Die()
	fixture.scheduler.Run(time.Second)
	if broken != 1 {
		t.Errorf("broken %d times; want once", broken)
	}
}

func TestStreamReachesOnlyTheBootThatAskedForIt(t *testing.T) {
	fixture := newFixture(quickLink)
	asked := fixture.b.Boot()
	fixture.b.Die()
	fixture.b.Start()
	stream := fixture.network.OpenStream(StreamOptions{From: fixture.a, To: fixture.b, ToBoot: asked})
	stream.Send("chunk", 1, func() { t.Error("a chunk was delivered to a later boot") })
	fixture.scheduler.Run(time.Minute)
	if stream.Open() {
		t.Error("the stream to an earlier boot is open")
	}
}

func TestSchedulerNoticesThatTimeStandsStill(t *testing.T) {
	scheduler := NewScheduler()
	var again func()
	again = func() { scheduler.After(0, again) }
	again()
	defer func() {
		if recover() == nil {
			t.Error("no panic")
		}
	}()
	scheduler.Run(time.Second)
}
