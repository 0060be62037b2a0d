package roster

import (
	"context"
	"encoding/json"
	"fmt"

	rock "bramleyrock"
)

// keyPrefix is the prefix of the keys of all status rows.
const keyPrefix = "entry/"

// scanPage is the number of rows requested by one scan.
const scanPage = 100

func keyOf(name string) string { return keyPrefix + name }

// scan reads all status rows.
func scan(ctx context.Context, table rock.Table) ([]rock.Row, error) {
	var all []rock.Row
	after := ""
	for {
		rows, err := table.Scan(ctx, keyPrefix, after, scanPage)
		if err != nil {
			return nil, fmt.Errorf("scan status rows: %w", err)
		}
		all = append(all, rows...)
		if len(rows) < scanPage {
			return all, nil
		}
		after = rows[len(rows)-1].Key()
	}
}

// parse returns the statuses in the rows, and an error for each row that cannot be
// decoded.
func parse(rows []rock.Row) ([]rock.EntryStatus, []error) {
	statuses := make([]rock.EntryStatus, 0, len(rows))
	var unreadable []error
	for _, row := range rows {
		s, err := parseRow(row)
		if err != nil {
			unreadable = append(unreadable, err)
			continue
		}
		statuses = append(statuses, s)
	}
	return statuses, unreadable
}

func parseRow(row rock.Row) (rock.EntryStatus, error) {
	var s rock.EntryStatus
	if err := json.Unmarshal(row.Value(), &s); err != nil {
		return s, fmt.Errorf("parse row %q: %w", row.Key(), err)
	}
	return s, nil
}
