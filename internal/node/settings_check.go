package node

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// Minimum values.
const (
	minDrainLimit    = spec.Duration(time.Second)
	minProbeInterval = spec.Duration(10 * time.Millisecond)
)

// Draft is settings as they were read, with the position of each field, before they are
// checked.
type Draft struct {
	Settings  Settings
	positions spec.Places
	findings  spec.Findings
}

// ReadSettings reads a settings file. Errors in it are kept until Complete, which returns
// them together with all other findings.
func ReadSettings(path string) *Draft {
	draft := &Draft{}
	draft.positions, draft.findings = spec.DecodeFile(path, &draft.Settings)
	return draft
}

// Override records that a field was set after reading, and by what. A finding about the
// field in the file remains, as the file needs a correction anyway.
func (d *Draft) Override(field, by string) {
	d.positions.Move(field, spec.Position{File: by})
}

// Complete fills in the defaults, checks the settings and returns every finding.
func (d *Draft) Complete() (Settings, spec.Findings) {
	settings := d.Settings
	settings.fillDefaults()
	settings.check(func(field, problem, remedy string) {
		if d.positions.Unread(field) {
			return
		}
		position := d.positions.Of(field)
		if position.File == "" {
			position.File = "settings"
		}
		d.findings = append(d.findings, spec.Finding{Position: position, Problem: field + " " + problem, Remedy: remedy})
	})
	return settings, d.findings.Sorted()
}

// Complete fills in the defaults of settings built by a program and checks them. The error
// lists every finding.
func (s Settings) Complete() (Settings, error) {
	draft := Draft{Settings: s}
	completed, findings := draft.Complete()
	if len(findings) > 0 {
		return completed, ErrInvalidSettings.Wrap(findings.Err(), "settings")
	}
	return completed, nil
}

// settingsReport receives a finding: the field, what is wrong with it, and how to correct
// it.
type settingsReport func(field, problem, remedy string)

func (s Settings) check(report settingsReport) {
	checkName(report, "name", string(s.Name), "name the node uniquely in the fleet")
	checkName(report, "zone", string(s.Zone), "name the zone that the machine stands in")
	s.Listen.check(report)
	if parsed, err := url.Parse(s.Platform); err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		report("platform", fmt.Sprintf("%q is no base URL", s.Platform), "write http://IP:PORT")
	}
	checkSeeds(report, "seeds", s.Seeds)
	checkSeeds(report, "remoteSeeds", s.RemoteSeeds)
	checkMinimum(report, "limits.maxWaiting", s.Limits.MaxWaiting, 1)
	checkMinimum(report, "limits.maxWaitingBytes", s.Limits.MaxWaitingBytes, 1)
	checkMinimum(report, "limits.maxBodyBytes", s.Limits.MaxBodyBytes, 1)
	checkMinimum(report, "limits.maxStreams", s.Limits.MaxStreams, 1)
	checkMinimum(report, "limits.hedgeAfter", s.Limits.HedgeAfter, 0)
	if !(s.WeightStore.LoadsPerSecond > 0) {
		report("weightStore.loadsPerSecond", fmt.Sprintf("is %v", s.WeightStore.LoadsPerSecond), "give more than 0")
	}
	checkMinimum(report, "weightStore.concurrentLoads", s.WeightStore.ConcurrentLoads, 1)
	checkMinimum(report, "probeInterval", s.ProbeInterval, minProbeInterval)
	checkMinimum(report, "drainLimit", s.DrainLimit, minDrainLimit)
	if _, known := logging.Levels[s.LogLevel]; !known {
		report("logLevel", fmt.Sprintf("is %q", s.LogLevel), "give debug, info, warn or error")
	}
}

func checkName(report settingsReport, field, name, remedy string) {
	switch {
	case name == "":
		report(field, "is missing", remedy)
	case !spec.ValidLabel(name):
		report(field, fmt.Sprintf("is %q", name), "take letters, digits and ._-/ with a letter or digit at both ends")
	}
}

func checkMinimum[T int | spec.Bytes | spec.Duration](report settingsReport, field string, value, minimum T) {
	if value < minimum {
		report(field, fmt.Sprintf("is %v", value), fmt.Sprintf("give at least %v", minimum))
	}
}

// check requires that other nodes can connect to each address as it is written, and that no
// two TCP listeners have the same address.
func (l ListenSettings) check(report settingsReport) {
	fieldByAddress := make(map[string]string)
	for _, entry := range []struct{ field, address string }{
		{"listen.caller", l.Caller},
		{"listen.operator", l.Operator},
		{"listen.peer", l.Peer},
		{"listen.gossip", l.Gossip},
	} {
		if !checkAddress(report, entry.field, entry.address) || entry.field == "listen.gossip" {
			continue
		}
		if first, taken := fieldByAddress[entry.address]; taken {
			report(entry.field, "is the address of "+first, "give each its own port")
		}
		fieldByAddress[entry.address] = entry.field
	}
}

func checkSeeds(report settingsReport, field string, seeds []string) {
	for index, seed := range seeds {
		checkAddress(report, fmt.Sprintf("%s[%d]", field, index), seed)
	}
}

func checkAddress(report settingsReport, field, address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case address == "":
		report(field, "is missing", "write IP:PORT")
	case err != nil:
		report(field, fmt.Sprintf("is %q, no address", address), "write IP:PORT")
	case parsed.Port() == 0 || parsed.Addr().IsUnspecified():
		report(field, fmt.Sprintf("is %q, which others cannot reach", address), "write the machine's own IP and a port other than 0")
	default:
		return true
	}
	return false
}
