package sim

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

type bench struct {
	scheduler *Scheduler
	trace     *Trace
	network   *Network
	a, b      *Process
	starts    int
}

func newBench(options LinkOptions) *bench {
	bench := &bench{scheduler: NewScheduler()}
	bench.trace = NewTrace(bench.scheduler, nil)
	bench.network = NewNetwork(bench.scheduler, bench.trace, NewStreams(1), options, options)
	bench.a = bench.process("a", "north")
	bench.b = bench.process("b", "south")
	return bench
}

func (b *bench) process(name, zone string) *Process {
	process := NewProcess(b.scheduler, b.trace, ProcessOptions{Name: name, Zone: zone, Start: func(uint64) { b.starts++ }})
	process.Start()
	return process
}

func (b *bench) sendMany(count int, transport Transport) []int {
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
	bench := newBench(lossy)
	arrived := bench.sendMany(1000, Datagram)
	counts := bench.network.Counts()
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
	if arrived := newBench(options).sendMany(100, Connection); len(arrived) != 100 {
		t.Errorf("%d arrived; want 100", len(arrived))
	}
	if arrived := newBench(options).sendMany(100, Resent); len(arrived) != 200 {
		t.Errorf("%d arrived; want 200", len(arrived))
	}
}

func TestCutsAreOneWayAndAddUp(t *testing.T) {
	bench := newBench(quickLink)
	bench.network.CutZones("north", "south")
	bench.network.Cut("a", "b")
	if arrived := bench.sendMany(10, Datagram); len(arrived) != 0 {
		t.Errorf("%d arrived through a cut", len(arrived))
	}
	if bench.network.IsCut(bench.b, bench.a) {
		t.Error("the way back is cut")
	}
	bench.network.HealZones("north", "south")
	if !bench.network.IsCut(bench.a, bench.b) {
		t.Error("healing the zones healed the link")
	}
	bench.network.Heal("a", "b")
	if arrived := bench.sendMany(10, Datagram); len(arrived) != 10 {
		t.Errorf("%d of 10 arrived after the cut", len(arrived))
	}
}

func TestPausedProcessHoldsMessagesAndTimers(t *testing.T) {
	bench := newBench(quickLink)
	var seen []string
	bench.b.Timer(Epoch.Add(10*time.Second), func() { seen = append(seen, "timer") })
	bench.b.Pause()
	bench.network.Send(Message{From: bench.a, To: bench.b, Kind: "m", Deliver: func() { seen = append(seen, "message") }})
	bench.scheduler.Run(20 * time.Second)
	if len(seen) != 0 {
		t.Fatalf("a paused process did %v", seen)
	}
	bench.b.Resume()
	bench.scheduler.Run(21 * time.Second)
	if difference := cmp.Diff([]string{"message", "timer"}, seen); difference != "" {
		t.Errorf("after the pause (-want +got):\n%s", difference)
	}
}

func TestDeathDropsWhatWasPlanned(t *testing.T) {
	bench := newBench(quickLink)
	bench.b.Timer(Epoch.Add(time.Second), func() { t.Error("a timer of an earlier boot ran") })
	bench.b.Pause()
	bench.network.Send(Message{From: bench.a, To: bench.b, Kind: "m", Deliver: func() { t.Error("a message of an earlier boot was taken") }})
	bench.scheduler.Run(100 * time.Millisecond)
	bench.b.Die()
	refused := false
	bench.network.Send(Message{From: bench.a, To: bench.b, Kind: "m", Refused: func() { refused = true }})
	bench.scheduler.Run(200 * time.Millisecond)
	bench.b.Start()
	bench.scheduler.Run(time.Minute)
	if !refused || bench.starts != 3 || bench.b.Boot() != 2 {
		t.Errorf("refused=%t starts=%d boot=%d", refused, bench.starts, bench.b.Boot())
	}
}

func TestWakerKeepsTheEarliestWake(t *testing.T) {
	bench := newBench(quickLink)
	var woken []time.Duration
	waker := NewWaker(bench.a, func() { woken = append(woken, bench.scheduler.Elapsed()) })
	waker.Set(Epoch.Add(5 * time.Second))
	waker.Set(Epoch.Add(2 * time.Second))
	waker.Set(Epoch.Add(9 * time.Second))
	bench.scheduler.Run(time.Minute)
	if difference := cmp.Diff([]time.Duration{2 * time.Second}, woken); difference != "" {
		t.Errorf("woken (-want +got):\n%s", difference)
	}
	waker.Set(Epoch.Add(2 * time.Minute))
	bench.a.Die()
	bench.a.Start()
	waker.Set(Epoch.Add(3 * time.Minute))
	bench.scheduler.Run(time.Hour)
	if len(woken) != 2 || woken[1] != 3*time.Minute {
		t.Errorf("woken at %v; want 2s and 3m0s", woken)
	}
}

func TestCallTellsRefusedAndTimedOutApart(t *testing.T) {
	bench := newBench(quickLink)
	call := func() CallOutcome {
		var got CallOutcome
		bench.network.Call(Call{
			From: bench.a, To: bench.b, Kind: "call", Timeout: time.Second,
			Serve: func(reply func(any)) { reply("answer") },
			Done:  func(_ any, outcome CallOutcome) { got = outcome },
		})
		bench.scheduler.Run(bench.scheduler.Elapsed() + time.Minute)
		return got
	}
	if got := call(); got != Answered {
		t.Errorf("outcome = %d; want answered", got)
	}
	bench.network.CutZones("south", "north")
	if got := call(); got != TimedOut {
		t.Errorf("answer cut: outcome = %d; want timed out", got)
	}
	bench.network.HealZones("south", "north")
	bench.b.Die()
	if got := call(); got != Refused {
		t.Errorf("receiver dead: outcome = %d; want refused", got)
	}
}

func TestStreamKeepsItsOrderUntilACut(t *testing.T) {
	options := LinkOptions{Least: time.Millisecond, Most: 50 * time.Millisecond, Loss: 0.2}
	bench := newBench(options)
	var arrived []int
	broken := 0
	stream := bench.network.OpenStream(StreamOptions{From: bench.a, To: bench.b, ToBoot: bench.b.Boot(), Detection: time.Second, Broken: func() { broken++ }})
	send := func(value int) { stream.Send("chunk", 1, func() { arrived = append(arrived, value) }) }
	for value := range 100 {
		send(value)
	}
	bench.scheduler.Run(time.Minute)
	for index, value := range arrived {
		if index != value {
			t.Fatalf("chunk %d came at place %d", value, index)
		}
	}
	bench.network.CutZones("north", "south")
	send(100)
	bench.scheduler.Run(2 * time.Minute)
	bench.network.HealZones("north", "south")
	send(101)
	bench.scheduler.Run(3 * time.Minute)
	if len(arrived) != 100 || broken != 1 {
		t.Errorf("%d arrived, broken %d times; want 100 and once", len(arrived), broken)
	}
}

func TestStreamBreaksWithItsSender(t *testing.T) {
	bench := newBench(quickLink)
	broken := 0
	bench.network.OpenStream(StreamOptions{From: bench.a, To: bench.b, ToBoot: bench.b.Boot(), Broken: func() { broken++ }})
	bench.a.Die()
	bench.scheduler.Run(time.Second)
	if broken != 1 {
		t.Errorf("broken %d times; want once", broken)
	}
}

func TestStreamReachesOnlyTheBootThatAskedForIt(t *testing.T) {
	bench := newBench(quickLink)
	asked := bench.b.Boot()
	bench.b.Die()
	bench.b.Start()
	stream := bench.network.OpenStream(StreamOptions{From: bench.a, To: bench.b, ToBoot: asked})
	stream.Send("chunk", 1, func() { t.Error("a later boot got a chunk") })
	bench.scheduler.Run(time.Minute)
	if stream.Open() {
		t.Error("the stream is open")
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
