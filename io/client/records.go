package client

import (
	"context"
	"encoding/json"
	"net/url"

	rock "bramleyrock"
)

// schemaQuery requests records in one schema version; 0 means as stored.
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

// Change requests a change and returns it as it was accepted.
func (c *Client) Change(ctx context.Context, change Change) (rock.Change, error) {
	var a struct {
		Change rock.Change `json:"change"`
	}
	err := c.post(ctx, "/v1/changes", change, &a)
	return a.Change, err
}

// FindChange returns the accepted change with that id, or a NotFound failure.
func (c *Client) FindChange(ctx context.Context, changeID string) (rock.Change, error) {
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
