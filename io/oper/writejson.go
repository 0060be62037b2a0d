package oper

import (
	"encoding/json"
	"net/http"
	"strconv"

	rock "bramleyrock"
	"bramleyrock/io/probl"
)

// writeJSON writes a 200 response with v as its JSON body.
func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		probl.Write(w, rock.Fail("answer", "", rock.Internal, rock.Ran).Because(err))
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(probl.VerdictHeader, string(rock.Ran))
	// A write error means that the client has disconnected.
	_, _ = w.Write(body)
}
