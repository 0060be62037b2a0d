// Package plat is the client of the platform: its table, its object store and
// its host list, as JSON over HTTP.
//
// The calls are:
//
//	POST   /table/read             ReadCall   -> Rows
//	POST   /table/scan             ScanCall   -> Rows
//	POST   /table/commit           CommitCall -> no content
//	GET    /objects/{name}                    -> the object
//	PUT    /objects/{name}         the object -> no content
//	DELETE /objects/{name}                    -> no content
//	GET    /hosts                             -> HostLines
//	GET    /hosts?of=ASPECT&since=CURSOR      -> HostUpdateForm
//	POST   /hosts/{name}/drain                -> no content
//	POST   /hosts/{name}/undrain              -> no content
//	POST   /hosts/{name}/reboot    RebootCall -> no content
//
// A call that fails is answered with a problem body, see
// [bramleyrock/io/probl].
//
// A write that did not leave this process, or that the platform refused, has
// verdict [rock.NotRun]. A write whose answer was lost is [rock.OutcomeUnknown]
// with verdict [rock.MayHaveRun]. A read changes nothing, so its failures
// always have verdict [rock.NotRun].
//
// Connections are kept. A call that runs into its timeout closes those that are
// idle, so that connections that went silent together cost one call.
//
// # Usage
//
//	c, err := plat.New(plat.Settings{Base: "http://127.0.0.1:7000", Token: token})
//	if err != nil {
//		return err
//	}
//	rows, err := c.Read(ctx, "head")
package plat
