package site

import (
	"fmt"
	"hash/fnv"
	"net/url"
	"strings"
)

// The names of the entry's own tables and rows.
const (
	cellTable = "cells"
	ownerName = "owner"
	beatName  = "beat"
	// workerPrefix begins the rows of workers that a cell orders.
	workerPrefix = "w/"
	// jobTables is the number of tables of jobs; the platform keeps 100
	// tables in all. A feed tells the changes of one table.
	jobTables = 32

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
	return fmt.Sprintf("jobs-%d", h.Sum32()%jobTables)
}

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
