package site

import (
	"fmt"
	"hash/fnv"
	"net/url"
	"strconv"
	"strings"

	"bramleyrock/core/tenure"
)

// The names of the entry's own tables and rows.
const (
	cellTable   = "cells"
	ownerName   = "owner"
	renewalName = "beat"
	// orderTable holds, for each home, the row orderName with the hosts that may be
	// ordered.
	orderTable = "orders"
	orderName  = "hosts"
	// workerPrefix begins the rows of workers that a cell orders.
	workerPrefix = "w/"
	// jobTableCount is the number of tables of jobs; the platform keeps 100
	// tables in all. A feed tells the changes of one table.
	jobTableCount = 32

	jobSuffix      = "/j"
	cancelSuffix   = "/c"
	progressSuffix = "/s"
	outcomeSuffix  = "/d"
)

// cellOf returns the name of the cell of a pool, which is a part of tables.
func cellOf(pool string) string { return url.PathEscape(pool) }

// jobTable returns the table with the jobs of a cell.
func jobTable(cell string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(cell)) // never fails
	return fmt.Sprintf("jobs-%d", h.Sum32()%jobTableCount)
}

// intakePartCount is the number of parts over which the jobs of a cell are spread. In
// a slow spell of the platform a part makes a few transactions a second, and a
// surge brings 200 jobs a second to a cell.
const intakePartCount = 32

// intakeSeparator separates the cell from the number in the name of an intake part. No
// cell's name holds it, since it is escaped there.
const intakeSeparator = "#"

// intakePartsPerJob is the number of parts in any of which a job may be stored as it
// was handed in: the platform's table may be down in part.
const intakePartsPerJob = 3

// intakeParts returns the parts in any of which the row of a job may be, the one
// that is tried first before the others.
func intakeParts(cell, id string) []string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	n := h.Sum32()
	first, stride := n%intakePartCount, 1+2*(n/intakePartCount%(intakePartCount/2)) // an odd stride meets no part twice
	parts := make([]string, 0, intakePartsPerJob)
	for i := range uint32(intakePartsPerJob) {
		parts = append(parts, intakePart(cell, int((first+i*stride)%intakePartCount)))
	}
	return parts
}

func intakePart(cell string, number int) string {
	return fmt.Sprintf("%s%s%d", cell, intakeSeparator, number)
}

// homeSeparator begins the number in the name of a home of a cell but the first, which
// has the cell's name.
const homeSeparator = intakeSeparator + "home"

// homePart returns the part that is a home of the cell.
func homePart(cell string, home int) string {
	if home == 0 {
		return cell
	}
	return cell + homeSeparator + strconv.Itoa(home)
}

// homeNumber returns the number of the home that a part is, and false if it is none.
func homeNumber(part string) (home int, ok bool) {
	for i := range tenure.HomeCount {
		if part == homePart(cellOfPart(part), i) {
			return i, true
		}
	}
	return 0, false
}

// cellOfPart returns the cell to which a part belongs.
func cellOfPart(part string) string {
	cell, _, _ := strings.Cut(part, intakeSeparator)
	return cell
}

// endedMark takes the place of a job in its row once its outcome is stored.
var endedMark = []byte{0}

// isEndedMark reports whether the value of a job's row says that it has an outcome.
func isEndedMark(value []byte) bool { return len(value) <= len(endedMark) }

// key returns the key of a row.
func key(table, part, name string) string { return table + "/" + part + "/" + name }

// splitKey returns the part and name in a key.
func splitKey(key string) (part, name string) {
	_, rest, _ := strings.Cut(key, "/")
	part, name, _ = strings.Cut(rest, "/")
	return part, name
}

// splitJobName returns the job and the suffix in the name of a job's row.
func splitJobName(name string) (id, suffix string) {
	if i := strings.LastIndexByte(name, '/'); i >= 0 {
		return name[:i], name[i:]
	}
	return name, ""
}
