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

// makeChange serves POST /v1/changes: it makes a change, or only checks it if it
// is a dry run.
func (h *handler) makeChange(w http.ResponseWriter, r *http.Request, a access) error {
	req, err := h.readChange(w, r)
	if err != nil {
		return err
	}
	for i, deleted := range req.Deletes {
		req.Deletes[i] = rock.NewRecord(deleted.Key(), deleted.Schema(), deleted.Version(), nil)
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.settings.ChangeTimeout)
	defer cancel()
	c, err := h.settings.Books.ChangeIf(ctx, h.settings.Now(), rock.Proposal{
		ID:      req.ChangeID,
		Who:     a.identity.Name(),
		Why:     req.Why,
		Records: req.Records,
		Deletes: req.Deletes,
		DryRun:  req.DryRun,
	}, func(before *feed.Config) error { return a.withConfig(before).checkChange(req) })
	if err != nil {
		return err
	}
	writeJSON(w, changeResponse{Change: c, DryRun: req.DryRun})
	return nil
}

// readChange reads and decodes the body of a change.
func (h *handler) readChange(w http.ResponseWriter, r *http.Request) (changeRequest, error) {
	fail := func(reason rock.Reason, format string, args ...any) (changeRequest, error) {
		return changeRequest{}, rock.Fail("read", "change", reason, rock.NotRun).Becausef(format, args...)
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
	var req changeRequest
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&req); err != nil {
		return fail(rock.BadInput, "body: %w", err)
	}
	if d.More() {
		return fail(rock.BadInput, "body: want one JSON object and nothing after it")
	}
	return req, nil
}

// history serves GET /v1/changes: the changes that the query selects, without the
// edits that the identity may not read.
func (h *handler) history(w http.ResponseWriter, r *http.Request, a access) error {
	filter, err := parseFilter(r.URL.Query())
	if err != nil {
		return err
	}
	filter.Redact = a.redactChange
	found, readTo, err := h.settings.Books.History(r.Context(), filter)
	if err != nil {
		return err
	}
	if found == nil {
		found = []rock.Change{}
	}
	writeJSON(w, historyResponse{Changes: found, ReadTo: readTo})
	return nil
}

// findChange serves GET /v1/changes/{id}. An operator whose answer was lost learns
// from it whether the change was accepted.
func (h *handler) findChange(w http.ResponseWriter, r *http.Request, a access) error {
	c, err := h.settings.Books.FindChange(r.Context(), r.PathValue("id"))
	if err != nil {
		return err
	}
	c, ok := a.redactChange(c)
	if !ok {
		return rock.Fail("settle", "change "+r.PathValue("id"), rock.NotFound, rock.NotRun)
	}
	writeJSON(w, c)
	return nil
}
