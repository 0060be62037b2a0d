package entry

import (
	"net/http"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/probl"
)

// Status is the JSON form of the status page.
type Status struct {
	// Name, Zone and Incarnation identify the entry.
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// Readiness states whether the entry accepts requests.
	Readiness Readiness `json:"readiness"`
	// Revision is the revision of the configuration in force.
	Revision rock.Revision `json:"revision"`
	// Confirmed is true if the platform has confirmed the revision.
	Confirmed bool `json:"confirmed"`
	// Pools holds the loads of the pools that the reader may see.
	Pools []PoolStatus `json:"pools"`
	// Peers holds the other entries that are alive.
	Peers []PeerStatus `json:"peers"`
	// Waiting holds the moves and waves that cannot proceed yet.
	Waiting []WaitingStatus `json:"waiting"`
	// Waves holds the progress of the maintenance waves.
	Waves []WaveStatus `json:"waves"`
}

// PoolStatus is the load of one pool in the entry's availability zone.
type PoolStatus struct {
	Pool     string  `json:"pool"`
	InFlight int     `json:"in_flight"`
	Queued   int     `json:"queued"`
	Slots    int     `json:"slots"`
	WaitMS   float64 `json:"wait_ms"`
}

// PeerStatus is the last heartbeat of another entry: its revision, when the
// heartbeat was received, and how long the round trip took.
type PeerStatus struct {
	Name        string        `json:"name"`
	Zone        string        `json:"zone"`
	Revision    rock.Revision `json:"revision"`
	HeardAt     time.Time     `json:"heard_at"`
	RoundTripMS float64       `json:"round_trip_ms"`
}

// WaitingStatus is a move or wave that waits, what for, and since when.
type WaitingStatus struct {
	Subject  string    `json:"subject"`
	WaitsFor string    `json:"waits_for"`
	Since    time.Time `json:"since"`
}

// serveStatus responds with the status page if the reader is authorised.
func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	id, err := e.authenticate(r)
	if err != nil {
		probl.Write(w, err)
		return
	}
	writeJSON(w, http.StatusOK, e.status(time.Now(), id))
}

// authenticate returns the identity of the reader. Callers are refused.
func (e *Entry) authenticate(r *http.Request) (rock.Identity, error) {
	fleet, ok := e.books.Fleet()
	if !ok {
		return rock.Identity{}, rock.Fail("read", "status", rock.Unavailable, rock.NotRun).Becausef("no configuration yet")
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	id, err := fleet.Authenticate(token)
	if err != nil {
		return rock.Identity{}, err
	}
	if id.Role() == rock.CallerRole {
		return rock.Identity{}, rock.Fail("read", "status", rock.Forbidden, rock.NotRun).Becausef("the role %q may not read the status", id.Role())
	}
	return id, nil
}

// status returns the status page, limited to what the identity may see.
func (e *Entry) status(now time.Time, id rock.Identity) Status {
	return Status{
		Name:        e.member.Name(),
		Zone:        e.member.Zone(),
		Incarnation: e.member.Incarnation(),
		Readiness:   e.Readiness(),
		Revision:    e.books.Revision(),
		Confirmed:   e.books.Confirmed(),
		Pools:       e.poolStatus(now, id),
		Peers:       e.peerStatus(now),
		Waiting:     e.waitingStatus(now, id),
		Waves:       e.waveStatus(id),
	}
}

// poolStatus returns the loads of the pools that the identity may see.
func (e *Entry) poolStatus(now time.Time, id rock.Identity) []PoolStatus {
	fleet, ok := e.books.Fleet()
	all := []PoolStatus{}
	if !ok {
		return all
	}
	for _, l := range e.engine.Loads(now) {
		pool, known := fleet.Pool(l.Pool())
		if !known || id.Organisation() != "" && !pool.Serves(id.Organisation()) {
			continue
		}
		all = append(all, PoolStatus{l.Pool(), l.InFlight(), l.Queued(), l.Slots(), milliseconds(l.Wait())})
	}
	return all
}

func (e *Entry) peerStatus(now time.Time) []PeerStatus {
	all := []PeerStatus{}
	for _, v := range e.links.Alive(now) {
		m := v.Heartbeat().Member()
		all = append(all, PeerStatus{m.Name(), m.Zone(), v.Heartbeat().Revision(), v.ReceivedAt(), milliseconds(v.RoundTrip())})
	}
	return all
}

// waitingStatus returns the moves and waves that wait. Identities of an
// organisation get none, since the texts name hosts of all organisations.
func (e *Entry) waitingStatus(now time.Time, id rock.Identity) []WaitingStatus {
	all := []WaitingStatus{}
	if id.Organisation() != "" {
		return all
	}
	for _, w := range e.runner.Status(now) {
		all = append(all, WaitingStatus{w.Subject(), w.WaitsFor(), w.Since()})
	}
	return all
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
