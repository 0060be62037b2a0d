package plat

import (
	"bytes"
	"context"
	"net/url"
	"path"
	"strings"

	rock "bramleyrock"
)

// Get implements [rock.ObjectStore].
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	ref, err := objectPath("get object", name)
	if err != nil {
		return nil, err
	}
	return c.send(ctx, request{"get object", name, false, c.base.New().Get(ref)})
}

// Put implements [rock.ObjectStore].
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	ref, err := objectPath("put object", name)
	if err != nil {
		return err
	}
	_, err = c.send(ctx, request{"put object", name, true, c.base.New().Put(ref).Body(bytes.NewReader(data))})
	return err
}

// Remove implements [rock.ObjectStore].
func (c *Client) Remove(ctx context.Context, name string) error {
	ref, err := objectPath("remove object", name)
	if err != nil {
		return err
	}
	_, err = c.send(ctx, request{"remove object", name, true, c.base.New().Delete(ref)})
	return err
}

// objectPath returns the URL of an object, relative to the base URL. It returns
// an error if the name is not a clean relative path.
func objectPath(op, name string) (string, error) {
	if name == "" || name == "." || strings.HasPrefix(name, "/") || strings.HasPrefix(name, "..") || path.Clean(name) != name {
		return "", rock.Fail(op, name, rock.BadInput, rock.NotRun).
			Becausef("object name %q is not allowed: want a clean relative path", name)
	}
	u := url.URL{Path: "objects/" + name}
	return u.String(), nil
}
