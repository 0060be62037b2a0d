package oper

import (
	"net/http"

	rock "bramleyrock"
	"bramleyrock/io/probl"

	"bramleyrock/io/logs"
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
		s.Log = logs.Discard()
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

// checkRole refuses a method that the role of the identity does not allow.
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

// unknown refuses a path or method that does not exist.
func (h *handler) unknown(w http.ResponseWriter, r *http.Request) {
	probl.Write(w, rock.Fail("find", r.Method+" "+r.URL.Path, rock.NotFound, rock.NotRun).
		Becausef("want GET /v1/records/{kind}, GET /v1/records/{kind}/{name}, POST or GET /v1/changes, or GET /v1/changes/{id}"))
}
