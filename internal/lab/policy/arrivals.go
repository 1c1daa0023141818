package policy

import (
	"math"
	"time"
)

// rhythm is the activity at an hour of the day, from about 0.05 to 1.
func rhythm(at time.Duration) float64 {
	hour := math.Mod(at.Hours(), 24)
	morning := math.Exp(-math.Pow((hour-10)/2.5, 2))
	afternoon := 0.9 * math.Exp(-math.Pow((hour-15)/3, 2))
	return 0.05 + 0.95*math.Min(1, morning+afternoon)
}

func (g *generator) drawRequests(model int) {
	switch g.models[model].kind {
	case steady:
		g.drawSteady(model)
	case office:
		g.drawOffice(model)
	case periodic:
		g.drawPeriodic(model)
	case daily:
		g.drawDaily(model)
	case rare:
		g.drawRare(model)
	}
}

// exponential is a draw with that mean.
func (g *generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.random.ExpFloat64() * float64(mean))
}

// heavy is a log-normal draw around the median.
func (g *generator) heavy(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*g.random.NormFloat64()))
}

func (g *generator) drawSteady(model int) {
	mean := 15*time.Second + g.within(30*time.Second)
	for at := g.exponential(mean); at < g.end; at += g.exponential(mean) {
		if g.random.Float64() < rhythm(at) {
			g.ask(model, at)
		}
	}
}

// drawOffice has sessions: idle times are drawn in hours of activity, so that
// they are longer at night.
func (g *generator) drawOffice(model int) {
	median := 6*time.Minute + g.within(30*time.Minute)
	followUps := 2 + g.random.IntN(8)
	at := g.within(median)
	for at < g.end {
		ended := g.session(model, at, 1+g.random.IntN(6), g.random.IntN(2*followUps), 40*time.Second)
		idle := wakeGap + g.heavy(median, 1.2)
		at = g.activeLater(ended, idle)
	}
}

// activeLater goes so far on that the activity adds up to the span.
func (g *generator) activeLater(from, span time.Duration) time.Duration {
	const step = time.Minute
	left := float64(span)
	at := from
	for left > 0 && at < g.end {
		gained := rhythm(at) * float64(step)
		if gained >= left {
			return at + time.Duration(left/gained*float64(step))
		}
		left -= gained
		at += step
	}
	return at
}

// session asks at many nodes at once, then goes on for some requests.
func (g *generator) session(model int, at time.Duration, burst, more int, gap time.Duration) time.Duration {
	for range burst {
		g.ask(model, at+g.within(2*time.Second))
	}
	for range more {
		at += g.exponential(gap)
		g.ask(model, at)
	}
	return at
}

var periods = []time.Duration{
	10 * time.Minute, 15 * time.Minute, 20 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 4 * time.Hour,
}

// drawPeriodic has jobs by a timetable, some only by day.
func (g *generator) drawPeriodic(model int) {
	period := periods[g.random.IntN(len(periods))]
	offset := g.within(period)
	jitter := time.Duration(float64(period) * 0.02)
	byDay := g.random.IntN(2) == 0
	burst, more := 1+g.random.IntN(6), g.random.IntN(8)
	for at := offset; at < g.end; at += period {
		hour := math.Mod(at.Hours(), 24)
		if byDay && (hour < 6 || hour >= 20) {
			continue
		}
		g.session(model, at+g.within(jitter), burst, more, 10*time.Second)
	}
}

// drawDaily has one or two long runs a day at about the same time.
func (g *generator) drawDaily(model int) {
	hours := []time.Duration{g.within(4 * time.Hour)}
	if g.random.IntN(2) == 0 {
		hours = []time.Duration{6*time.Hour + g.within(2*time.Hour)}
	}
	if g.random.IntN(3) == 0 {
		hours = append(hours, 12*time.Hour+g.within(6*time.Hour))
	}
	long := 20 + g.random.IntN(100)
	for day := time.Duration(0); day < g.end; day += 24 * time.Hour {
		for _, hour := range hours {
			at := day + hour + time.Duration(float64(3*time.Minute)*g.random.NormFloat64())
			g.session(model, max(0, at), 2+g.random.IntN(6), long, 15*time.Second)
		}
		if g.random.IntN(3) == 0 {
			g.session(model, day+g.within(24*time.Hour), 1, g.random.IntN(4), 30*time.Second)
		}
	}
}

// drawRare has heavy-tailed idle times of hours.
func (g *generator) drawRare(model int) {
	const shortest = time.Hour
	shape := 1.1 + 0.6*g.random.Float64()
	idle := func() time.Duration {
		return time.Duration(float64(shortest) * math.Pow(1-g.random.Float64(), -1/shape))
	}
	for at := g.within(8 * time.Hour); at < g.end; at = g.activeLater(at, idle()) {
		at = g.session(model, at, 1+g.random.IntN(5), g.random.IntN(6), 40*time.Second)
	}
}

// ask adds a request at any node.
func (g *generator) ask(model int, at time.Duration) {
	if at >= g.end {
		return
	}
	asked := request{
		at: at, model: model, adapter: -1,
		node: g.random.IntN(g.shape.Zones * g.shape.NodesPerZone),
		runs: 2*time.Second + g.heavy(6*time.Second, 0.8),
	}
	if adapters := g.models[model].adapters; len(adapters) > 0 && g.random.IntN(3) > 0 {
		asked.adapter = adapters[g.random.IntN(len(adapters))]
	}
	g.requests = append(g.requests, asked)
}
