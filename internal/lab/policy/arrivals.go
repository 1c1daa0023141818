package policy

import (
	"math"
	"time"
)

// activityLevel returns the activity at a time of day, from about 0.05 to 1.
func activityLevel(at time.Duration) float64 {
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

// exponential draws from an exponential distribution with the given mean.
func (g *generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.random.ExpFloat64() * float64(mean))
}

// logNormal draws from a log-normal distribution with the given median.
func (g *generator) logNormal(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*g.random.NormFloat64()))
}

func (g *generator) drawSteady(model int) {
	mean := 15*time.Second + g.uniform(30*time.Second)
	for at := g.exponential(mean); at < g.end; at += g.exponential(mean) {
		if g.random.Float64() < activityLevel(at) {
			g.addRequest(model, at)
		}
	}
}

// drawOffice generates sessions with idle times that are drawn in units of
// activity, so that they are longer at night.
func (g *generator) drawOffice(model int) {
	median := 6*time.Minute + g.uniform(30*time.Minute)
	followUps := 2 + g.random.IntN(8)
	at := g.uniform(median)
	for at < g.end {
		ended := g.addSession(model, at, 1+g.random.IntN(6), g.random.IntN(2*followUps), 40*time.Second)
		idle := wakeGap + g.logNormal(median, 1.2)
		at = g.advanceActive(ended, idle)
	}
}

// advanceActive returns the time at which the activity since from adds up to the
// span.
func (g *generator) advanceActive(from, span time.Duration) time.Duration {
	const step = time.Minute
	left := float64(span)
	at := from
	for left > 0 && at < g.end {
		gained := activityLevel(at) * float64(step)
		if gained >= left {
			return at + time.Duration(left/gained*float64(step))
		}
		left -= gained
		at += step
	}
	return at
}

// addSession adds a burst of concurrent requests at several nodes, followed by
// single requests. It returns the time of the last one.
func (g *generator) addSession(model int, at time.Duration, burst, followUps int, gap time.Duration) time.Duration {
	for range burst {
		g.addRequest(model, at+g.uniform(2*time.Second))
	}
	for range followUps {
		at += g.exponential(gap)
		g.addRequest(model, at)
	}
	return at
}

var periods = []time.Duration{
	10 * time.Minute, 15 * time.Minute, 20 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 4 * time.Hour,
}

// drawPeriodic generates jobs at fixed intervals, some only by day.
func (g *generator) drawPeriodic(model int) {
	period := periods[g.random.IntN(len(periods))]
	offset := g.uniform(period)
	jitter := time.Duration(float64(period) * 0.02)
	byDay := g.random.IntN(2) == 0
	burst, more := 1+g.random.IntN(6), g.random.IntN(8)
	for at := offset; at < g.end; at += period {
		hour := math.Mod(at.Hours(), 24)
		if byDay && (hour < 6 || hour >= 20) {
			continue
		}
		g.addSession(model, at+g.uniform(jitter), burst, more, 10*time.Second)
	}
}

// drawDaily generates one or two long runs a day at about the same time, and at
// random a short session.
func (g *generator) drawDaily(model int) {
	hours := []time.Duration{g.uniform(4 * time.Hour)}
	if g.random.IntN(2) == 0 {
		hours = []time.Duration{6*time.Hour + g.uniform(2*time.Hour)}
	}
	if g.random.IntN(3) == 0 {
		hours = append(hours, 12*time.Hour+g.uniform(6*time.Hour))
	}
	long := 20 + g.random.IntN(100)
	for day := time.Duration(0); day < g.end; day += 24 * time.Hour {
		for _, hour := range hours {
			at := day + hour + time.Duration(float64(3*time.Minute)*g.random.NormFloat64())
			g.addSession(model, max(0, at), 2+g.random.IntN(6), long, 15*time.Second)
		}
		if g.random.IntN(3) == 0 {
			g.addSession(model, day+g.uniform(24*time.Hour), 1, g.random.IntN(4), 30*time.Second)
		}
	}
}

// drawRare generates sessions with heavy-tailed idle times of hours.
func (g *generator) drawRare(model int) {
	const shortest = time.Hour
	shape := 1.1 + 0.6*g.random.Float64()
	idle := func() time.Duration {
		return time.Duration(float64(shortest) * math.Pow(1-g.random.Float64(), -1/shape))
	}
	for at := g.uniform(8 * time.Hour); at < g.end; at = g.advanceActive(at, idle()) {
		at = g.addSession(model, at, 1+g.random.IntN(5), g.random.IntN(6), 40*time.Second)
	}
}

// addRequest adds a request at a random node, unless the trace ends before.
func (g *generator) addRequest(model int, at time.Duration) {
	if at >= g.end {
		return
	}
	added := request{
		at: at, model: model, adapter: -1,
		node:        g.random.IntN(g.shape.Zones * g.shape.NodesPerZone),
		serviceTime: 2*time.Second + g.logNormal(6*time.Second, 0.8),
	}
	if adapters := g.models[model].adapters; len(adapters) > 0 && g.random.IntN(3) > 0 {
		added.adapter = adapters[g.random.IntN(len(adapters))]
	}
	g.requests = append(g.requests, added)
}
