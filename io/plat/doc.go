// Package plat is the client of the platform: its table, its object store and
// its host list, as JSON over HTTP.
//
// The endpoints, with the bodies of their requests and responses, are:
//
//	POST   /table/read             ReadRequest   -> Rows
//	POST   /table/scan             ScanRequest   -> Rows
//	POST   /table/commit           CommitRequest -> no content
//	GET    /objects/{name}                       -> the object
//	PUT    /objects/{name}         the object    -> no content
//	DELETE /objects/{name}                       -> no content
//	GET    /hosts                                -> HostListJSON
//	GET    /hosts?of=FILTER&since=CURSOR         -> HostUpdateJSON
//	POST   /hosts/{name}/drain                   -> no content
//	POST   /hosts/{name}/undrain                 -> no content
//	POST   /hosts/{name}/reboot    RebootRequest -> no content
//
// The response to a failed request has a problem body, see
// [bramleyrock/io/probl].
//
// A write that was not sent, or that the platform refused, fails with verdict
// [rock.NotRun]. A write whose response was lost fails with reason
// [rock.OutcomeUnknown] and verdict [rock.MayHaveRun]. A read changes nothing,
// so its failures always have verdict [rock.NotRun].
//
// Connections are reused. A request that times out closes the idle ones, so that
// if several connections go silent together, only one request fails.
//
// # Usage
//
//	c, err := plat.New(plat.Settings{BaseURL: "http://127.0.0.1:7000", Token: token})
//	if err != nil {
//		return err
//	}
//	rows, err := c.Read(ctx, "head")
package plat
