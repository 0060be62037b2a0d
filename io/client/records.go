package client

import (
	"context"
	"encoding/json"
	"net/url"

	rock "bramleyrock"
)

// Change is a change of records, as an operator sends it.
type Change struct {
	// ChangeID settles a lost answer.
	ChangeID string `json:"change_id"`
	// Why is the operator's reason.
	Why string `json:"why,omitempty"`
	// Records are the records to write, with the versions that they replace.
	Records []rock.Record `json:"records,omitempty"`
	// Deletes are the records to delete, with their current versions.
	Deletes []rock.Record `json:"deletes,omitempty"`
	// DryRun checks the change without making it.
	DryRun bool `json:"dry_run,omitempty"`
}

// Filter selects changes of the audit trail. The zero value selects all.
type Filter struct {
	// After leaves out changes up to this revision.
	After rock.Revision `url:"after,omitempty"`
	// Limit is the greatest number of changes.
	Limit int `url:"limit,omitempty"`
	// Kind selects changes of records of a kind.
	Kind string `url:"kind,omitempty"`
	// Name selects changes of the records of that name.
	Name string `url:"name,omitempty"`
	// Who selects changes by an author.
	Who string `url:"who,omitempty"`
	// Since leaves out changes before this RFC 3339 time.
	Since string `url:"since,omitempty"`
}

// schemaQuery asks for records in one schema version.
type schemaQuery struct {
	SchemaVersion int `url:"schema_version,omitempty"`
}

// Records returns all records of the kind; a schema of 0 means as stored.
func (c *Client) Records(ctx context.Context, kind rock.Kind, schema int) ([]rock.Record, error) {
	var a struct {
		Records []rock.Record `json:"records"`
	}
	err := c.get(ctx, "/v1/records/"+url.PathEscape(string(kind)), schemaQuery{schema}, &a)
	return a.Records, err
}

// Record returns the record with that key; a schema of 0 means as stored.
func (c *Client) Record(ctx context.Context, key rock.Key, schema int) (rock.Record, error) {
	var r rock.Record
	path := "/v1/records/" + url.PathEscape(string(key.Kind())) + "/" + url.PathEscape(key.Name())
	err := c.get(ctx, path, schemaQuery{schema}, &r)
	return r, err
}

// Change makes a change and returns it as accepted.
func (c *Client) Change(ctx context.Context, p Change) (rock.Change, error) {
	var a struct {
		Change rock.Change `json:"change"`
	}
	err := c.post(ctx, "/v1/changes", p, &a)
	return a.Change, err
}

// Settle returns the accepted change with that id, or a NotFound failure.
func (c *Client) Settle(ctx context.Context, changeID string) (rock.Change, error) {
	var a rock.Change
	err := c.get(ctx, "/v1/changes/"+url.PathEscape(changeID), nil, &a)
	return a, err
}

// Changes returns the changes that the filter selects, oldest first.
func (c *Client) Changes(ctx context.Context, f Filter) ([]rock.Change, error) {
	var a struct {
		Changes []rock.Change `json:"changes"`
	}
	err := c.get(ctx, "/v1/changes", f, &a)
	return a.Changes, err
}

// Status returns the entry's status page as JSON.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	var a json.RawMessage
	err := c.get(ctx, "/status", nil, &a)
	return a, err
}
