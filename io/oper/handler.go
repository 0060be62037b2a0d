package oper

import (
	"net/http"

	rock "bramleyrock"
	"bramleyrock/io/probl"

	"bramleyrock/io/logs"
)

// handler serves the operators' API.
type handler struct {
	settings Settings
}

// New returns the handler of the operators' API.
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
	mux.HandleFunc("GET /v1/records/{kind}", h.withAccess(h.list))
	mux.HandleFunc("GET /v1/records/{kind}/{name}", h.withAccess(h.get))
	mux.HandleFunc("POST /v1/changes", h.withAccess(h.makeChange))
	mux.HandleFunc("GET /v1/changes", h.withAccess(h.history))
	mux.HandleFunc("GET /v1/changes/{id}", h.withAccess(h.findChange))
	mux.HandleFunc("/", h.notFound)
	return mux
}

// withAccess returns a handler that authenticates the request's token and runs f
// with its access. An error of f is returned as a problem body.
func (h *handler) withAccess(f func(w http.ResponseWriter, r *http.Request, a access) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a := access{config: h.settings.Books.Config(), codec: h.settings.Codec}
		var err error
		a.identity, err = a.config.Authenticate(bearerToken(r))
		if err == nil {
			err = checkRole(a.identity, r.Method)
		}
		if err == nil {
			err = f(w, r, a)
		}
		if err != nil {
			h.settings.Log.WithError(err).WithField("path", r.URL.Path).Debug("Operator request refused.")
			probl.Write(w, err)
		}
	}
}

// checkRole returns an error if the role of the identity does not allow the
// method.
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

// notFound responds to a path or method that does not exist.
func (h *handler) notFound(w http.ResponseWriter, r *http.Request) {
	probl.Write(w, rock.Fail("find", r.Method+" "+r.URL.Path, rock.NotFound, rock.NotRun).
		Becausef("want GET /v1/records/{kind}, GET /v1/records/{kind}/{name}, POST or GET /v1/changes, or GET /v1/changes/{id}"))
}
