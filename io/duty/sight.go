package duty

import (
	"context"
	"fmt"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/drain"
)

// listTimePerHost is how much older the list of hosts may be for each host in
// it, which bounds the bytes a second of reading a long list.
const listTimePerHost = time.Millisecond

// sight reads what the duties need to see of entries and hosts. The list of
// hosts is shared by rounds that follow each other closely.
type sight struct {
	set Settings

	mu     sync.Mutex
	list   []rock.HostStatus
	listAt time.Time
}

func newSight(s Settings) *sight { return &sight{set: s} }

// hosts returns the list of hosts, which is read again if it is old.
func (s *sight) hosts(ctx context.Context, now time.Time) ([]rock.HostStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := max(s.set.Interval/2, time.Duration(len(s.list))*listTimePerHost)
	if !s.listAt.IsZero() && now.Sub(s.listAt) < age {
		return s.list, nil
	}
	hosts, err := s.set.HostList.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	s.list, s.listAt = hosts, now
	s.set.Budgets.Observe(now, hosts)
	return hosts, nil
}

// view returns the entries' status rows and the list of hosts.
func (s *sight) view(ctx context.Context, now time.Time, memory *drain.History) (drain.View, error) {
	entries := s.set.Roster.Statuses(now)
	hosts, err := s.hosts(ctx, now)
	if err != nil {
		return drain.View{}, err
	}
	return drain.NewView(entries, hosts, memory), nil
}
