package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/feed"
	"bramleyrock/io/probl"

	"github.com/sirupsen/logrus"
)

// handler answers the operator door.
type handler struct {
	settings Settings
}

// New returns the handler of the operator door.
func New(s Settings) http.Handler {
	if s.MaxBody == 0 {
		s.MaxBody = defaultMaxBody
	}
	if s.ChangeTimeout == 0 {
		s.ChangeTimeout = defaultChangeTimeout
	}
	if s.Log == nil {
		l := logrus.New()
		l.SetOutput(io.Discard)
		s.Log = l
	}
	s.Log = s.Log.WithField("part", "oper")
	h := &handler{settings: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/records/{kind}", h.as(h.list))
	mux.HandleFunc("GET /v1/records/{kind}/{name}", h.as(h.get))
	mux.HandleFunc("POST /v1/changes", h.as(h.change))
	mux.HandleFunc("GET /v1/changes", h.as(h.history))
	mux.HandleFunc("GET /v1/changes/{id}", h.as(h.settle))
	mux.HandleFunc("/", h.unknown)
	return mux
}

// as runs f with the access of the request's token.
func (h *handler) as(f func(w http.ResponseWriter, r *http.Request, a access) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a := access{config: h.settings.Books.Config(), codec: h.settings.Codec}
		var err error
		a.identity, err = a.config.Authenticate(bearer(r))
		if err == nil {
			err = checkRole(a.identity, r.Method)
		}
		if err == nil {
			err = f(w, r, a)
		}
		if err != nil {
			h.settings.Log.WithError(err).WithField("path", r.URL.Path).Debug("A call was refused.")
			probl.Write(w, err)
		}
	}
}

func checkRole(i rock.Identity, method string) error {
	switch {
	case i.Role() == rock.OperatorRole:
		return nil
	case i.Role() == rock.ReaderRole && method == http.MethodGet:
		return nil
	}
	return rock.Fail("authorise", i.Name(), rock.Forbidden, rock.NotRun).
		Becausef("role %q may not do this", i.Role())
}

func (h *handler) unknown(w http.ResponseWriter, r *http.Request) {
	probl.Write(w, rock.Fail("find", r.Method+" "+r.URL.Path, rock.NotFound, rock.NotRun).
		Becausef("want GET /v1/records/{kind}, GET /v1/records/{kind}/{name}, POST or GET /v1/changes, or GET /v1/changes/{id}"))
}

// known refuses to read as long as no configuration is known.
func (h *handler) known() error {
	if _, ok := h.settings.Books.Fleet(); ok {
		return nil
	}
	return rock.Fail("read", "records", rock.Unavailable, rock.NotRun).
		RetryIn(time.Second).Becausef("no configuration is known yet")
}

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

func (h *handler) convert(r rock.Record, schema int) (rock.Record, error) {
	if schema == 0 {
		return r, nil
	}
	return h.settings.Codec.Convert(r, schema)
}

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

func (h *handler) change(w http.ResponseWriter, r *http.Request, a access) error {
	f, err := h.readChange(w, r)
	if err != nil {
		return err
	}
	for i, x := range f.Deletes {
		f.Deletes[i] = rock.NewRecord(x.Key(), x.Schema(), x.Version(), nil)
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.settings.ChangeTimeout)
	defer cancel()
	c, err := h.settings.Books.ChangeIf(ctx, h.settings.Now(), rock.Proposal{
		ID:      f.ChangeID,
		Who:     a.identity.Name(),
		Why:     f.Why,
		Records: f.Records,
		Deletes: f.Deletes,
		DryRun:  f.DryRun,
	}, func(before *feed.Config) error { return a.at(before).allows(f) })
	if err != nil {
		return err
	}
	answer(w, changeAnswer{Change: c, DryRun: f.DryRun})
	return nil
}

// readChange reads the body of a change.
func (h *handler) readChange(w http.ResponseWriter, r *http.Request) (changeForm, error) {
	fail := func(reason rock.Reason, format string, args ...any) (changeForm, error) {
		return changeForm{}, rock.Fail("read", "change", reason, rock.NotRun).Becausef(format, args...)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.settings.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fail(rock.TooLarge, "body has more than %d bytes", h.settings.MaxBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fail(rock.DeadlineExceeded, "the body did not come in time")
	case err != nil:
		return fail(rock.BadInput, "body: %w", err)
	}
	var f changeForm
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return fail(rock.BadInput, "body: %w", err)
	}
	if d.More() {
		return fail(rock.BadInput, "body: want one JSON object and nothing after it")
	}
	return f, nil
}

func (h *handler) history(w http.ResponseWriter, r *http.Request, a access) error {
	f, err := filterOf(r.URL.Query())
	if err != nil {
		return err
	}
	f.View = a.visible
	found, to, err := h.settings.Books.History(r.Context(), f)
	if err != nil {
		return err
	}
	if found == nil {
		found = []rock.Change{}
	}
	answer(w, changesAnswer{Changes: found, ReadTo: to})
	return nil
}

func (h *handler) settle(w http.ResponseWriter, r *http.Request, a access) error {
	c, err := h.settings.Books.Settle(r.Context(), r.PathValue("id"))
	if err != nil {
		return err
	}
	c, ok := a.visible(c)
	if !ok {
		return rock.Fail("settle", "change "+r.PathValue("id"), rock.NotFound, rock.NotRun)
	}
	answer(w, c)
	return nil
}
