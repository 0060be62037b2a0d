package duty

import (
	"context"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/drain"
)

// sight reads what the duties need to see of entries and hosts.
type sight struct {
	set Settings
}

func newSight(s Settings) *sight { return &sight{set: s} }

// refreshHosts reads the list of hosts for the observer.
func (s *sight) refreshHosts(ctx context.Context, now time.Time) error {
	_, err := s.hosts(ctx, now)
	return err
}

func (s *sight) hosts(ctx context.Context, now time.Time) ([]rock.HostStatus, error) {
	hosts, err := s.set.HostList.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	if s.set.Observer != nil {
		s.set.Observer.Observe(now, hosts)
	}
	return hosts, nil
}

// view reads the entries' status rows and then the list of hosts.
func (s *sight) view(ctx context.Context, now time.Time, memory *drain.Memory) (drain.View, error) {
	entries := s.set.Roster.Statuses(now)
	hosts, err := s.hosts(ctx, now)
	if err != nil {
		return drain.View{}, err
	}
	return drain.NewView(entries, hosts, memory), nil
}
