package plat

import (
	"context"
	"fmt"

	rock "bramleyrock"
)

// Read implements [rock.Table].
func (c *Client) Read(ctx context.Context, keys ...string) ([]rock.Row, error) {
	var rows Rows
	r := request{"read", "table", false, c.base.New().Post("table/read").BodyJSON(ReadRequest{keys})}
	if err := c.getJSON(ctx, r, &rows); err != nil {
		return nil, err
	}
	if err := checkKeys(keys, rows.Rows); err != nil {
		return nil, rock.Fail("read", "table", rock.Truncated, rock.NotRun).Because(err)
	}
	return rows.List(), nil
}

// checkKeys returns an error unless the rows have exactly the keys, in order.
func checkKeys(keys []string, rows []RowJSON) error {
	if len(rows) != len(keys) {
		return fmt.Errorf("answer holds %d rows, not %d", len(rows), len(keys))
	}
	for i, k := range keys {
		if rows[i].Key != k {
			return fmt.Errorf("row %d of the answer is %q, not %q", i, rows[i].Key, k)
		}
	}
	return nil
}

// Scan implements [rock.Table].
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]rock.Row, error) {
	var rows Rows
	r := request{"scan", prefix, false, c.base.New().Post("table/scan").BodyJSON(ScanRequest{prefix, after, limit})}
	if err := c.getJSON(ctx, r, &rows); err != nil {
		return nil, err
	}
	return rows.List(), nil
}

// Commit implements [rock.Table].
func (c *Client) Commit(ctx context.Context, t rock.Transaction) error {
	_, err := c.send(ctx, request{"commit", "table", true, c.base.New().Post("table/commit").BodyJSON(FromTransaction(t))})
	return err
}
