package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/node"
	"github.com/spanlanding/spanlanding/internal/traffic"
)

// Figures are those of a node; where several nodes have a role, their means.
type Figures map[string]float64

// Names of the figures; those that end in / have one for each part, channel or
// call behind it.
const (
	FigureControl       = "control cpu (millicores)"
	FigureCallers       = "caller cpu (millicores)"
	FigureBytesSent     = "sent (B/s)"
	FigureBytesReceived = "received (B/s)"
	FigureMessages      = "messages (1/s)"
	FigureHeap          = "heap (KB)"
	FigureInForce       = "change in force (ms)"

	prefixPart    = "cpu/"
	prefixChannel = "bytes/"
	prefixCall    = "call/"
	prefixState   = "state/"
)

// Measurement is one point: the figures of each role at one setup.
type Measurement struct {
	Setup   Setup   `json:"setup"`
	Seconds float64 `json:"seconds"`
	// SettledSeconds went by until all nodes had all declarations and tables.
	SettledSeconds float64          `json:"settledSeconds"`
	Roles          map[Role]Figures `json:"roles"`
	// Process is what the whole process spent, stand-ins and load included.
	ProcessCores float64 `json:"processCores"`
	Nodes        int     `json:"nodes"`
	// Unlabelled is the share of samples that names nobody: collection of
	// garbage and scheduling. It is shared out in proportion.
	Unlabelled float64 `json:"unlabelledShare"`
	Load       Outcome `json:"load"`
}

// window measures while the fleet runs.
func window(ctx context.Context, setup Setup, nodes []hollow, roles map[Role]map[fleet.NodeName]bool, timing Timing) (Measurement, error) {
	runtime.GC()
	atStart := readCounters(nodes)
	spentAtStart := processSeconds()
	started := time.Now()
	profile, err := startProfile()
	if err != nil {
		return Measurement{}, err
	}
	sleep(ctx, timing.Window)
	sampled, err := profile.stop()
	if err != nil {
		return Measurement{}, err
	}
	seconds := time.Since(started).Seconds()
	spent := processSeconds() - spentAtStart
	atEnd := readCounters(nodes)
	if timing.KeepProfile != nil {
		if err := timing.KeepProfile(setup, profile.content.Bytes()); err != nil {
			return Measurement{}, err
		}
	}
	measured := Measurement{
		Setup: setup, Seconds: seconds, Nodes: len(nodes), ProcessCores: spent / seconds,
		Roles: make(map[Role]Figures),
	}
	labelled := max(1, sampled.labelled())
	total := labelled + sampled[sampleKey{}]
	measured.Unlabelled = float64(total-labelled) / float64(total)
	coresPerSample := spent / seconds / float64(labelled)
	perNode := make(map[fleet.NodeName]Figures)
	for _, each := range nodes {
		figures := rates(atStart[each.name], atEnd[each.name], seconds)
		figures.addProcessor(each.name, sampled, coresPerSample)
		figures.addState(each.node)
		perNode[each.name] = figures
	}
	for role, names := range roles {
		if figures := mean(perNode, names); figures != nil {
			measured.Roles[role] = figures
		}
	}
	return measured, nil
}

// addProcessor shares the process's time out by the samples. The part that
// serves callers is no control.
func (f Figures) addProcessor(name fleet.NodeName, sampled samples, coresPerSample float64) {
	for key, count := range sampled {
		if key.node != string(name) {
			continue
		}
		millicores := 1000 * coresPerSample * float64(count)
		f[prefixPart+key.part] += millicores
		if key.part == node.PartCallers {
			f[FigureCallers] += millicores
		} else {
			f[FigureControl] += millicores
		}
	}
}

// addState notes the sizes of what the node holds, as JSON.
func (f Figures) addState(running *node.Node) {
	tables, _ := running.Views().Tables.Get()
	members, _ := running.Views().Members.Get()
	machines, _ := running.Views().Machines.Get()
	f[prefixState+"tables (KB)"] = jsonKilobytes(tables)
	f[prefixState+"members (KB)"] = jsonKilobytes(members)
	f[prefixState+"machines (KB)"] = jsonKilobytes(machines)
}

func jsonKilobytes(value any) float64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0
	}
	return float64(len(encoded)) / 1024
}

// counters are a node's sums by name of figure.
type counters map[string]float64

func readCounters(nodes []hollow) map[fleet.NodeName]counters {
	read := make(map[fleet.NodeName]counters, len(nodes))
	for _, each := range nodes {
		read[each.name] = countersOf(each.node)
	}
	return read
}

func countersOf(running *node.Node) counters {
	sums := make(counters)
	families, err := running.Metrics().Gather()
	if err != nil {
		return sums
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			labels := make(map[string]string)
			for _, label := range metric.GetLabel() {
				labels[label.GetName()] = label.GetValue()
			}
			sums.add(family.GetName(), labels, metric.GetCounter().GetValue())
		}
	}
	return sums
}

func (c counters) add(metric string, labels map[string]string, value float64) {
	channel, direction := labels[traffic.LabelChannel], labels[traffic.LabelDirection]
	switch metric {
	case traffic.MetricBytes:
		c[prefixChannel+channel+" "+direction] += value
		if direction == traffic.Sent {
			c[FigureBytesSent] += value
		} else {
			c[FigureBytesReceived] += value
		}
	case traffic.MetricMessages:
		c[FigureMessages] += value
	case traffic.MetricCallBytes:
		c[prefixCall+channel+" "+labels[traffic.LabelCall]] += value
	}
}

func rates(start, end counters, seconds float64) Figures {
	figures := make(Figures, len(end))
	for name, value := range end {
		figures[name] = (value - start[name]) / seconds
	}
	return figures
}

// mean is over the nodes of a role; a figure that a node lacks counts as 0.
func mean(perNode map[fleet.NodeName]Figures, names map[fleet.NodeName]bool) Figures {
	sums := make(Figures)
	count := 0.0
	for name, included := range names {
		figures, found := perNode[name]
		if !included || !found {
			continue
		}
		count++
		for figure, value := range figures {
			sums[figure] += value
		}
	}
	if count == 0 {
		return nil
	}
	for figure := range sums {
		sums[figure] /= count
	}
	return sums
}

// heapBytes is what lives on the heap, with the goroutines' stacks.
func heapBytes() uint64 {
	debug.FreeOSMemory()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// processSeconds is the processor time of this process.
func processSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(fmt.Sprint("getrusage: ", err))
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / float64(time.Second)
}

func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
