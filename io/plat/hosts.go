package plat

import (
	"context"
	"net/url"

	rock "bramleyrock"
)

// List implements [rock.HostList].
func (c *Client) List(ctx context.Context) ([]rock.HostStatus, error) {
	var list HostListJSON
	if err := c.getJSON(ctx, request{"list hosts", "", false, c.base.New().Get("hosts")}, &list); err != nil {
		return nil, err
	}
	return list.List(), nil
}

// ChangesSince implements [rock.IncrementalHostList].
func (c *Client) ChangesSince(ctx context.Context, of rock.HostChangeFilter, since rock.HostCursor) (rock.HostUpdate, error) {
	var form HostUpdateJSON
	s := c.base.New().Get("hosts?of=" + url.QueryEscape(string(of)) + "&since=" + url.QueryEscape(string(since)))
	if err := c.getJSON(ctx, request{"list host changes", "", false, s}, &form); err != nil {
		return rock.HostUpdate{}, err
	}
	return form.Update(), nil
}

// Drain implements [rock.HostList].
func (c *Client) Drain(ctx context.Context, host string) error {
	return c.postAction(ctx, "drain", host, nil)
}

// Undrain implements [rock.HostList].
func (c *Client) Undrain(ctx context.Context, host string) error {
	return c.postAction(ctx, "undrain", host, nil)
}

// Reboot implements [rock.HostList].
func (c *Client) Reboot(ctx context.Context, host, id string) error {
	return c.postAction(ctx, "reboot", host, RebootRequest{id})
}

// postAction requests an action on a host. The body is sent as JSON unless it is
// nil.
func (c *Client) postAction(ctx context.Context, action, host string, body any) error {
	if err := rock.CheckName(host); err != nil {
		return rock.Fail(action, host, rock.BadInput, rock.NotRun).Because(err)
	}
	s := c.base.New().Post("hosts/" + url.PathEscape(host) + "/" + action)
	if body != nil {
		s.BodyJSON(body)
	}
	_, err := c.send(ctx, request{action, host, true, s})
	return err
}
