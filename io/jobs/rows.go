package jobs

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
)

// The prefixes of the keys of rows in the platform's table.
const (
	jobPrefix     = "job/"
	waitingPrefix = "job_waiting/"
	cancelPrefix  = "job_cancel/"
	heldPrefix    = "job_held/"
	leasePrefix   = "lease/jobs/"
)

// dutyPrefix begins the duty names under which sessions' leases are held.
const dutyPrefix = "jobs/"

func jobKey(id string) string { return jobPrefix + id }

func cancelKey(id string) string { return cancelPrefix + id }

func heldKey(session string) string { return heldPrefix + session }

// waitingKey returns the key of a job's waiting row. Urgent jobs sort first,
// and older jobs before newer ones.
func waitingKey(j job.Job) string {
	rank := "1"
	if j.Class() == rock.Urgent {
		rank = "0"
	}
	return waitingPrefix + rank + "-" + j.ID()
}

// waitingValue is the JSON form of a waiting row's value.
type waitingValue struct {
	Pool         string    `json:"pool"`
	Organisation string    `json:"organisation"`
	Since        time.Time `json:"since"`
}

// waitingRow is a waiting row with what its key says about the job.
type waitingRow struct {
	waitingValue
	key     string
	version uint64
	id      string
	urgent  bool
}

func parseWaiting(row rock.Row) (waitingRow, error) {
	w := waitingRow{key: row.Key(), version: row.Version()}
	rank, id, ok := strings.Cut(strings.TrimPrefix(row.Key(), waitingPrefix), "-")
	if !ok {
		return w, fmt.Errorf("parse row %q: want job_waiting/RANK-ID", row.Key())
	}
	w.id, w.urgent = id, rank == "0"
	if err := json.Unmarshal(row.Value(), &w.waitingValue); err != nil {
		return w, fmt.Errorf("parse row %q: %w", row.Key(), err)
	}
	return w, nil
}

// heldList is the JSON form of a held list, which lists the jobs of a session.
type heldList struct {
	Zone string `json:"zone"`
	// Jobs maps each job's id to its progress, from 0 to 1.
	Jobs map[string]float64 `json:"jobs"`
}

func parseHeld(row rock.Row) (heldList, error) {
	var l heldList
	if !row.Exists() {
		return l, nil
	}
	if err := json.Unmarshal(row.Value(), &l); err != nil {
		return l, fmt.Errorf("parse row %q: %w", row.Key(), err)
	}
	return l, nil
}

func parseJob(row rock.Row) (job.Job, error) {
	var j job.Job
	if err := json.Unmarshal(row.Value(), &j); err != nil {
		return j, fmt.Errorf("parse row %q: %w", row.Key(), err)
	}
	return j, nil
}

// putJSON adds a write of v to the transaction.
func putJSON(t *rock.Transaction, key string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode row %q: %w", key, err)
	}
	t.Put(key, data)
	return nil
}

// putWaiting adds a write of the job's waiting row to the transaction.
func putWaiting(t *rock.Transaction, j job.Job) error {
	return putJSON(t, waitingKey(j), waitingValue{Pool: j.Pool(), Organisation: j.Organisation(), Since: j.StateSince()})
}
