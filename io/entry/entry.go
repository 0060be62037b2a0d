package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
	"bramleyrock/core/group"
	"bramleyrock/core/move"
	"bramleyrock/core/peers"
	"bramleyrock/core/wave"
	"bramleyrock/io/books"
	"bramleyrock/io/door"
	"bramleyrock/io/duty"
	"bramleyrock/io/front"
	"bramleyrock/io/jobs"
	"bramleyrock/io/link"
	"bramleyrock/io/logs"
	"bramleyrock/io/meter"
	"bramleyrock/io/oper"
	"bramleyrock/io/plat"
	"bramleyrock/io/roster"
	"bramleyrock/io/route"
	"bramleyrock/io/targ"
)

// Entry is one entry process.
type Entry struct {
	settings Settings
	member   rock.Member
	tasks    *group.Group
	meter    *meter.Meter
	platform *plat.Client
	targets  *targ.Client
	books    *books.Books
	engine   *route.Engine
	links    *link.Set
	peers    *link.Server
	roster   *roster.Roster
	runner   *duty.Runner
	caller   *door.Door
	operator *door.Door
	peer     *door.Door
	handlers handlers
	leaving  atomic.Bool
	jobs     *jobs.Jobs
	// leaveCtx ends when startLeaving is called, which ends the jobs. jobsEnded
	// is closed once this entry no longer runs jobs.
	leaveCtx         context.Context
	startLeaving     context.CancelFunc
	jobsEnded        chan struct{}
	placementAllowed atomic.Bool // set by register
}

// handlers holds the HTTP handlers of the doors. They are set after the doors
// listen, since the entry's identity contains the address of its peer door.
type handlers struct {
	caller   http.Handler
	operator http.Handler
	peer     http.Handler
}

// New returns an entry whose doors listen. It serves no requests until
// [Entry.Run] is called.
func New(s Settings) (*Entry, error) {
	e := &Entry{settings: s, tasks: group.New(context.Background())}
	e.leaveCtx, e.startLeaving = context.WithCancel(context.Background())
	if err := e.listen(); err != nil {
		return nil, err
	}
	now := time.Now()
	source := rand.New(rand.NewPCG(s.Seed, uint64(now.UnixNano())))
	e.member = rock.NewMember(s.Name, s.Zone, e.peer.Address(), peers.NewIncarnation(now, source, ""))
	if err := e.build(); err != nil {
		return nil, fmt.Errorf("build entry %s: %w", s.Name, err)
	}
	return e, nil
}

// CallerAddress returns the address of the caller door.
func (e *Entry) CallerAddress() string { return e.caller.Address() }

// OperatorAddress returns the address of the operator door.
func (e *Entry) OperatorAddress() string { return e.operator.Address() }

// Member returns the entry's identity.
func (e *Entry) Member() rock.Member { return e.member }

// Revision returns the revision of the configuration in force.
func (e *Entry) Revision() rock.Revision { return e.books.Revision() }

// Watch returns a channel that is closed when a newer revision comes into force.
func (e *Entry) Watch() <-chan struct{} { return e.books.Watch() }

// CountPeers returns the number of other entries that are alive.
func (e *Entry) CountPeers() int { return len(e.links.Alive(time.Now())) }

// listen opens the listeners of the doors.
func (e *Entry) listen() error {
	newDoor := func(name, address string, handler *http.Handler) (*door.Door, error) {
		d := door.New(door.Settings{
			Name:    name,
			Address: address,
			Limits:  e.settings.DoorLimits,
			Log:     e.settings.Log.WithField(logs.PartField, "door"),
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (*handler).ServeHTTP(w, r) }),
		})
		return d, d.Listen()
	}
	var err error
	if e.caller, err = newDoor("caller", e.settings.CallerAddress, &e.handlers.caller); err != nil {
		return err
	}
	if e.operator, err = newDoor("operator", e.settings.OperatorAddress, &e.handlers.operator); err != nil {
		return err
	}
	e.peer, err = newDoor("peer", e.settings.PeerAddress, &e.handlers.peer)
	return err
}

// build constructs the components in the order of their dependencies.
func (e *Entry) build() error {
	s := e.settings
	m, err := meter.New(map[string]string{"entry": s.Name})
	if err != nil {
		return err
	}
	e.meter = m
	e.platform, err = plat.New(plat.Settings{BaseURL: s.PlatformURL, Token: s.PlatformToken})
	if err != nil {
		return err
	}
	e.targets = targ.New(targ.Settings{})
	platform := e.platform
	e.buildLinks()
	reviewer := budget.New(budget.Settings{})
	e.books = books.New(books.Settings{
		Table:           platform,
		Objects:         platform,
		Reviewer:        rock.Reviewers{move.Reviewer{}, wave.Reviewer{}, duty.NewRefreshingReviewer(reviewer, platform)},
		Peers:           e.links,
		Now:             time.Now,
		Log:             s.Log,
		Scope:           m.Scope().SubScope("books"),
		BootstrapDigest: s.OperatorDigest,
		Seed:            s.Seed,
		Poll:            s.PollInterval,
	})
	e.buildEngine()
	e.buildDuties(platform, reviewer)
	e.buildJobs()
	e.buildHandlers()
	return nil
}

// buildLinks constructs the links to other entries and the server for theirs.
func (e *Entry) buildLinks() {
	linkSettings := link.Settings{
		Self:       e.member,
		Secret:     e.settings.PeerSecret,
		Seeds:      e.settings.PeerAddresses,
		Server:     e,
		Beat:       e.heartbeat,
		OnRevision: func(r rock.Revision, p rock.Peer) { e.books.Hint(r, p) },
		Seed:       e.settings.Seed,
		Log:        e.settings.Log.WithField(logs.PartField, "link"),
		Scope:      e.meter.Scope().SubScope("link"),
	}
	e.links = link.NewSet(linkSettings)
	e.peers = link.NewServer(linkSettings)
	e.peers.Notify(e.links)
}

// buildEngine constructs the request path.
func (e *Entry) buildEngine() {
	s := e.settings
	e.engine = route.New(route.Settings{
		Member:      e.member,
		Fleet:       e.books,
		MayPlace:    e.placementAllowed.Load,
		Target:      e.targets,
		Peers:       e.links,
		Secret:      []byte(s.PeerSecret),
		HostList:    e.platform,
		ObjectStore: e.platform,
		Table:       e.platform,
		Random:      rand.New(rand.NewPCG(s.Seed, uint64(time.Now().UnixNano()))),
		Log:         s.Log.WithField(logs.PartField, "route"),
		Scope:       e.meter.Scope().SubScope("route"),
		Group:       e.tasks,
	})
}

// buildDuties constructs the writer of the status row and the runner of the
// duties, each of which has at most one holder among the entries.
func (e *Entry) buildDuties(platform *plat.Client, reviewer *budget.Reviewer) {
	s := e.settings
	e.roster = roster.New(roster.Settings{
		Self:       e.member,
		Table:      platform,
		Report:     e.rosterReport,
		OnStatuses: e.links.Learn,
		OnFenced:   e.handleFenced,
		Log:        s.Log,
		Scope:      e.meter.Scope(),
	})
	e.runner = duty.New(duty.Settings{
		Name:     s.Name,
		Table:    platform,
		Changer:  e.books,
		Fleet:    e.books,
		HostList: platform,
		Roster:   uncachedStatuses{e.roster},
		Budgets:  reviewer,
		Loads:    loadSource{ownLoads: e.engine.Loads, peers: e.links, fleet: e.books},
		Duties:   []duty.Duty{e.books.Compaction()},
		Log:      s.Log.WithField(logs.PartField, "duty"),
		Scope:    e.meter.Scope().SubScope("duty"),
	})
}

// buildHandlers constructs the HTTP handlers of the doors.
func (e *Entry) buildHandlers() {
	s := e.settings
	callerMux := http.NewServeMux()
	e.addProbes(callerMux)
	callerMux.Handle("/v1/jobs/", e.jobs.Handler())
	callerMux.Handle("POST /v1/pools/{pool}/jobs", e.jobs.Handler())
	callerMux.Handle("/v1/", front.New(front.Settings{
		Runner: e.engine,
		Keys:   e.engine,
		Fleet:  e.books,
		Limits: s.RequestLimits,
		Log:    s.Log.WithField(logs.PartField, "front"),
		Scope:  e.meter.Scope().SubScope("front"),
	}))
	operatorMux := http.NewServeMux()
	e.addProbes(operatorMux)
	operatorMux.Handle("GET /metrics", e.meter.Handler())
	operatorMux.HandleFunc("GET /status", e.serveStatus)
	operatorMux.Handle("/v1/", oper.New(oper.Settings{
		Books: e.books,
		Now:   time.Now,
		Log:   s.Log.WithField(logs.PartField, "oper"),
	}))
	e.handlers = handlers{caller: callerMux, operator: operatorMux, peer: e.peers}
}
