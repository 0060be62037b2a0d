package oper

import (
	"net/http"
	"time"

	rock "bramleyrock"
)

// known refuses to read as long as no configuration is known.
func (h *handler) known() error {
	if _, ok := h.settings.Books.Fleet(); ok {
		return nil
	}
	return rock.Fail("read", "records", rock.Unavailable, rock.NotRun).
		RetryIn(time.Second).Becausef("no configuration is known yet")
}

// list answers with all records of a kind that the caller sees.
func (h *handler) list(w http.ResponseWriter, r *http.Request, a access) error {
	kind := rock.Kind(r.PathValue("kind"))
	if err := rock.NewKey(kind, "any").Check(); err != nil {
		return rock.Fail("read", "records", rock.BadInput, rock.NotRun).Because(err)
	}
	schema, err := schemaOf(r.URL.Query())
	if err != nil {
		return err
	}
	if err := h.known(); err != nil {
		return err
	}
	found := recordsAnswer{
		Revision:  a.config.Revision(),
		Confirmed: h.settings.Books.Confirmed(),
		Records:   []rock.Record{},
	}
	for _, x := range a.config.Records(kind) {
		if !a.sees(x) {
			continue
		}
		if x, err = h.convert(x, schema); err != nil {
			return err
		}
		found.Records = append(found.Records, x)
	}
	answer(w, found)
	return nil
}

// convert returns a record in a schema version; 0 means as stored.
func (h *handler) convert(r rock.Record, schema int) (rock.Record, error) {
	if schema == 0 {
		return r, nil
	}
	return h.settings.Codec.Convert(r, schema)
}

// get answers with one record.
func (h *handler) get(w http.ResponseWriter, r *http.Request, a access) error {
	key := rock.NewKey(rock.Kind(r.PathValue("kind")), r.PathValue("name"))
	if err := key.Check(); err != nil {
		return rock.Fail("read", "record", rock.BadInput, rock.NotRun).Because(err)
	}
	schema, err := schemaOf(r.URL.Query())
	if err != nil {
		return err
	}
	if err := h.known(); err != nil {
		return err
	}
	found, ok := a.config.Record(key)
	if !ok || !a.sees(found) {
		return rock.Fail("read", key.String(), rock.NotFound, rock.NotRun)
	}
	if found, err = h.convert(found, schema); err != nil {
		return err
	}
	answer(w, found)
	return nil
}
