package oper

import (
	"net/http"
	"time"

	rock "bramleyrock"
)

// checkConfigured returns an error while no configuration is known.
func (h *handler) checkConfigured() error {
	if _, ok := h.settings.Books.Fleet(); ok {
		return nil
	}
	return rock.Fail("read", "records", rock.Unavailable, rock.NotRun).
		RetryIn(time.Second).Becausef("no configuration is known yet")
}

// list serves GET /v1/records/{kind}: all records of the kind that the identity
// may read.
func (h *handler) list(w http.ResponseWriter, r *http.Request, a access) error {
	kind := rock.Kind(r.PathValue("kind"))
	if err := rock.NewKey(kind, "any").Check(); err != nil {
		return rock.Fail("read", "records", rock.BadInput, rock.NotRun).Because(err)
	}
	schema, err := parseSchema(r.URL.Query())
	if err != nil {
		return err
	}
	if err := h.checkConfigured(); err != nil {
		return err
	}
	response := recordsResponse{
		Revision:  a.config.Revision(),
		Confirmed: h.settings.Books.Confirmed(),
		Records:   []rock.Record{},
	}
	for _, rec := range a.config.Records(kind) {
		if !a.canRead(rec) {
			continue
		}
		if rec, err = h.convertSchema(rec, schema); err != nil {
			return err
		}
		response.Records = append(response.Records, rec)
	}
	writeJSON(w, response)
	return nil
}

// convertSchema returns a record in the given schema version; 0 means the stored
// version.
func (h *handler) convertSchema(r rock.Record, schema int) (rock.Record, error) {
	if schema == 0 {
		return r, nil
	}
	return h.settings.Codec.Convert(r, schema)
}

// get serves GET /v1/records/{kind}/{name}.
func (h *handler) get(w http.ResponseWriter, r *http.Request, a access) error {
	key := rock.NewKey(rock.Kind(r.PathValue("kind")), r.PathValue("name"))
	if err := key.Check(); err != nil {
		return rock.Fail("read", "record", rock.BadInput, rock.NotRun).Because(err)
	}
	schema, err := parseSchema(r.URL.Query())
	if err != nil {
		return err
	}
	if err := h.checkConfigured(); err != nil {
		return err
	}
	found, ok := a.config.Record(key)
	if !ok || !a.canRead(found) {
		return rock.Fail("read", key.String(), rock.NotFound, rock.NotRun)
	}
	if found, err = h.convertSchema(found, schema); err != nil {
		return err
	}
	writeJSON(w, found)
	return nil
}
