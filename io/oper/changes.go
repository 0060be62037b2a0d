package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"

	rock "bramleyrock"
	"bramleyrock/core/feed"
)

// change makes a change, or only checks it if it is a dry run.
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

// history answers with the changes that the query selects.
func (h *handler) history(w http.ResponseWriter, r *http.Request, a access) error {
	f, err := filterOf(r.URL.Query())
	if err != nil {
		return err
	}
	f.Redact = a.visible
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

// settle answers with the accepted change of an id.
func (h *handler) settle(w http.ResponseWriter, r *http.Request, a access) error {
	c, err := h.settings.Books.FindChange(r.Context(), r.PathValue("id"))
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
