package operator

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Width is the maximum line width, in columns, of the tables that commands
// print.
const Width = 80

// table formats rows in aligned columns within Width. Cells that do not fit are
// truncated, first in the columns of shrinkFirst, then in the widest ones.
type table struct {
	rows [][]string
	// shrinkFirst lists headings of the columns to narrow before any other.
	shrinkFirst []string
}

func (t *table) add(cells ...string) {
	t.rows = append(t.rows, cells)
}

func (t *table) write(writer io.Writer) {
	var widths []int
	for _, row := range t.rows {
		for column, cell := range row {
			if column == len(widths) {
				widths = append(widths, 0)
			}
			widths[column] = max(widths[column], len(cell))
		}
	}
	for _, name := range t.shrinkFirst {
		shrinkColumn(widths, slices.Index(t.rows[0], name), len(name))
	}
	shrinkWidest(widths)
	for _, row := range t.rows {
		var line strings.Builder
		for column, cell := range row {
			if column > 0 {
				line.WriteString("  ")
			}
			fmt.Fprintf(&line, "%-*s", widths[column], truncate(cell, widths[column]))
		}
		fmt.Fprintln(writer, strings.TrimRight(line.String(), " "))
	}
}

const columnGap = 2

func rowWidth(widths []int) int {
	total := -columnGap
	for _, width := range widths {
		total += width + columnGap
	}
	return total
}

// shrinkColumn narrows one column until the row fits, at most to minWidth.
func shrinkColumn(widths []int, column, minWidth int) {
	if column >= 0 {
		widths[column] -= max(0, min(rowWidth(widths)-Width, widths[column]-minWidth))
	}
}

// shrinkWidest narrows whichever column is the widest until the row fits.
func shrinkWidest(widths []int) {
	for len(widths) > 0 && rowWidth(widths) > Width {
		widest := 0
		for column, width := range widths {
			if width > widths[widest] {
				widest = column
			}
		}
		widths[widest]--
	}
}

func truncate(text string, width int) string {
	if len(text) <= width {
		return text
	}
	if width < 3 {
		return text[:width]
	}
	return text[:width-2] + ".."
}

// RenderStatus prints a status as text within Width columns.
func RenderStatus(writer io.Writer, status Status) {
	state := "ready"
	if !status.Ready {
		state = "not ready"
	}
	if status.Draining {
		state += ", draining"
	}
	header := fmt.Sprintf("node %s  zone %s  config %d  %s", status.Node, status.Zone, status.ConfigVersion, state)
	fmt.Fprintln(writer, truncate(header, Width))
	renderMembers(writer, status.Members)
	renderZones(writer, status.Zones)
	renderModels(writer, status.Models)
	renderQueues(writer, status.Queues)
}

func renderMembers(writer io.Writer, members []fleet.Member) {
	rows := table{}
	rows.add("MEMBER", "ZONE", "STATE", "CONFIG", "OPERATOR")
	for _, member := range sortMembers(members) {
		state := string(member.State)
		if member.Draining {
			state += ",draining"
		}
		rows.add(string(member.Name), string(member.Zone), state, fmt.Sprint(member.ConfigVersion), member.Addresses.Operator)
	}
	renderSection(writer, rows)
}

func renderZones(writer io.Writer, zones []ZoneStatus) {
	rows := table{}
	rows.add("ZONE", "LEADER", "FENCE", "TABLE AGE", "ENGINES", "SERVICES", "LEAVING", "EVACUATED")
	for _, zone := range zones {
		rows.add(string(zone.Zone), string(zone.Leader), zone.Fence, formatSeconds(zone.TableAgeSeconds),
			fmt.Sprint(zone.Engines), fmt.Sprint(zone.Services), fmt.Sprint(zone.Leaving), yesOrEmpty(zone.Evacuated))
	}
	renderSection(writer, rows)
}

func yesOrEmpty(value bool) string {
	if value {
		return "yes"
	}
	return ""
}

func renderModels(writer io.Writer, models []ModelStatus) {
	rows := table{}
	rows.add("MODEL", "DECIDED", "READY", "LOADING", "UNLOADING", "WAITING")
	for _, model := range models {
		rows.add(model.Model.String(), fmt.Sprint(model.Decided), fmt.Sprint(model.Ready),
			fmt.Sprint(model.Loading), fmt.Sprint(model.Unloading), fmt.Sprint(model.Waiting))
	}
	renderSection(writer, rows)
}

func renderQueues(writer io.Writer, queues []QueueStatus) {
	rows := table{}
	rows.add("QUEUE", "WAITING", "OLDEST")
	for _, queue := range queues {
		rows.add(queue.Model.String(), fmt.Sprint(queue.Waiting), formatSeconds(queue.OldestSeconds))
	}
	renderSection(writer, rows)
}

// renderSection prints a blank line and the table. A table without rows below
// its heading is omitted.
func renderSection(writer io.Writer, rows table) {
	if len(rows.rows) < 2 {
		return
	}
	fmt.Fprintln(writer)
	rows.write(writer)
}

func formatSeconds(value float64) string {
	return time.Duration(value * float64(time.Second)).Round(10 * time.Millisecond).String()
}

// RenderWait prints the result of a wait.
func RenderWait(writer io.Writer, result WaitResult) {
	fmt.Fprintf(writer, "version %d: in force at %d of %d live nodes\n", result.Version, result.InForce, result.Live)
	rows := table{}
	rows.add("LACKING", "ZONE", "CONFIG", "REASON")
	for _, lacking := range result.Lacking {
		rows.add(string(lacking.Node), string(lacking.Zone), fmt.Sprint(lacking.ConfigVersion), lacking.Reason)
	}
	renderSection(writer, rows)
}

// RenderApply prints the result of an apply. Unchanged objects are only
// counted.
func RenderApply(writer io.Writer, result ApplyResult) {
	rows := table{}
	unchanged := 0
	for _, object := range result.Objects {
		if object.Outcome == OutcomeUnchanged {
			unchanged++
			continue
		}
		version := ""
		if object.Version > 0 {
			version = fmt.Sprintf("version %d", object.Version)
		}
		rows.add(string(object.Outcome), object.Kind, object.Name, version)
	}
	rows.write(writer)
	fmt.Fprintf(writer, "set %s: %d changed, %d unchanged, version %d\n", result.Owner, result.Changed(), unchanged, result.Version)
}
