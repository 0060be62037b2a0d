package duty

import (
	"context"
	"fmt"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/drain"
)

// listAgePerHost is the age for each listed host up to which the list of hosts
// is reused. It bounds the bytes per second spent on reading a long list.
const listAgePerHost = time.Millisecond

// observer reads the entries' status rows and the list of hosts for the duties.
// The list of hosts is cached and shared by the rounds of all duties. It is safe
// for concurrent use.
type observer struct {
	settings Settings

	mu     sync.Mutex
	list   []rock.HostStatus
	listAt time.Time
}

func newObserver(s Settings) *observer { return &observer{settings: s} }

// hosts returns the list of hosts. It reuses the one read last for half a round
// interval or listAgePerHost for each listed host, whichever is longer.
func (o *observer) hosts(ctx context.Context, now time.Time) ([]rock.HostStatus, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	age := max(o.settings.Interval/2, time.Duration(len(o.list))*listAgePerHost)
	if !o.listAt.IsZero() && now.Sub(o.listAt) < age {
		return o.list, nil
	}
	hosts, err := o.settings.HostList.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	o.list, o.listAt = hosts, now
	o.settings.Budgets.Observe(now, hosts)
	return hosts, nil
}

// view returns the entries' status rows and the list of hosts, indexed.
func (o *observer) view(ctx context.Context, now time.Time, history *drain.History) (drain.View, error) {
	entries := o.settings.Roster.Statuses(now)
	hosts, err := o.hosts(ctx, now)
	if err != nil {
		return drain.View{}, err
	}
	return drain.NewView(entries, hosts, history), nil
}
