package site

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"net/url"
	"strconv"
	"strings"

	"bramleyrock/core/tenure"
)

// Names of the system's own tables and rows.
const (
	cellTable   = "cells"
	ownerName   = "owner"
	renewalName = "beat"
	// orderTable holds, for each home, the row orderName with the hosts that may get
	// orders.
	orderTable = "orders"
	orderName  = "hosts"
	// workerPrefix is the prefix of the row names of workers.
	workerPrefix = "w/"
	// jobTableCount is the number of tables with jobs. The platform allows 100 tables
	// in all, and a feed returns the changes of one table.
	jobTableCount = 32

	jobSuffix    = "/j"
	cancelSuffix = "/c"
	// progressSuffix is that of the row with the progress of a job's first tasks. The rows
	// of the other chunks add the number of the chunk.
	progressSuffix = "/s"
	outcomeSuffix  = "/d"
)

// cellOf returns the name of the cell of a pool, escaped for use as a part of tables.
func cellOf(pool string) string { return url.PathEscape(pool) }

// jobTable returns the table that holds the jobs of a cell.
func jobTable(cell string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(cell)) // never fails
	return fmt.Sprintf("jobs-%d", h.Sum32()%jobTableCount)
}

// intakePartCount is the number of parts over which the submitted jobs of a cell are
// spread. While the platform is slow, a part runs a few transactions per second, and a
// surge brings 200 jobs per second to a cell.
const intakePartCount = 32

// intakeSeparator separates the cell from the number in the name of an intake part.
// Names of cells do not contain it, because they are escaped.
const intakeSeparator = "#"

// intakePartsPerJob is the number of intake parts in which a submitted job may be
// stored, because some parts of the table may be unavailable.
const intakePartsPerJob = 3

// intakeParts returns the intake parts in which the row of a job may be stored, in the
// order in which they are tried.
func intakeParts(cell, id string) []string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	n := h.Sum32()
	first, stride := n%intakePartCount, 1+2*(n/intakePartCount%(intakePartCount/2)) // an odd stride visits no part twice
	parts := make([]string, 0, intakePartsPerJob)
	for i := range uint32(intakePartsPerJob) {
		parts = append(parts, intakePart(cell, int((first+i*stride)%intakePartCount)))
	}
	return parts
}

// intakePart returns the name of an intake part of a cell.
func intakePart(cell string, number int) string {
	return fmt.Sprintf("%s%s%d", cell, intakeSeparator, number)
}

// homeSeparator separates the cell from the number in the name of a home. The first
// home has the name of the cell.
const homeSeparator = intakeSeparator + "home"

// homePart returns the name of the part that is a home of the cell.
func homePart(cell string, home int) string {
	if home == 0 {
		return cell
	}
	return cell + homeSeparator + strconv.Itoa(home)
}

// homeNumber returns the number of the home that a part is, and false if the part is
// not a home.
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

// Marks are values of a job's row that are no job. All are one byte long, so that a program
// that does not know a mark takes the job for an ended one.
var (
	// endedMark replaces the job once the outcome is stored.
	endedMark = []byte{0}
	// cancelledMark means that the job was cancelled before it was stored.
	cancelledMark = []byte{1}
	// movedMark means that the job is accepted in another cell, if at all.
	movedMark = []byte{2}
)

// isMark reports whether the value of a job's row is a mark.
func isMark(value []byte) bool { return len(value) <= 1 }

// isSeal reports whether the value of a job's row prevents that the job is stored in the
// row, in which no job was stored before.
func isSeal(value []byte) bool {
	return bytes.Equal(value, cancelledMark) || bytes.Equal(value, movedMark)
}

// progressName returns the name of the row with the progress of a chunk of a job's tasks.
func progressName(id string, chunk int) string {
	if chunk == 0 {
		return id + progressSuffix
	}
	return id + progressSuffix + strconv.Itoa(chunk)
}

// progressChunk returns the chunk whose progress is in a row with the suffix, and false if
// the row holds no progress.
func progressChunk(suffix string) (chunk int, ok bool) {
	number, ok := strings.CutPrefix(suffix, progressSuffix)
	if !ok || number == "" {
		return 0, ok
	}
	chunk, err := strconv.Atoi(number)
	return chunk, err == nil && chunk > 0
}

// key returns the key of a row in the store.
func key(table, part, name string) string { return table + "/" + part + "/" + name }

// splitKey returns the part and the name in a key.
func splitKey(key string) (part, name string) {
	_, rest, _ := strings.Cut(key, "/")
	part, name, _ = strings.Cut(rest, "/")
	return part, name
}

// splitJobName splits the name of a job's row into the job id and the suffix.
func splitJobName(name string) (id, suffix string) {
	if i := strings.LastIndexByte(name, '/'); i >= 0 {
		return name[:i], name[i:]
	}
	return name, ""
}
