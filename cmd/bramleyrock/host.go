package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
	"bramleyrock/io/client"
	"bramleyrock/io/conf"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
)

// operatorHold is what closed a host that an operator drains.
const operatorHold = "operator"

func (a *app) host() *cobra.Command {
	c := &cobra.Command{Use: "host", Short: "Move, drain and release hosts"}
	c.AddCommand(a.hostMove(), a.hostDrain(), a.hostRelease())
	return c
}

func (a *app) hostMove() *cobra.Command {
	c := &cobra.Command{
		Use:   "move HOST POOL",
		Short: "Move a host to another pool",
		Long: `Move asks for a move. It is carried out when the host is proved idle and the
budget of its pool allows it; "status" says what it waits for.`,
		Args: cobra.ExactArgs(2),
	}
	return a.command(c, func(s *conf.Set) action {
		x := newChangeSettings(s)
		name := s.String("name", "", "name of the move; one is made if it is missing", "", nil)
		return func(ctx context.Context, args []string) error {
			r, err := moveRecord(ctx, x.client(), *name, args[0], args[1])
			if err != nil {
				return err
			}
			return a.change(ctx, x, client.Change{Records: []rock.Record{r}})
		}
	})
}

// moveRecord returns the record of a new move of the host to the pool.
func moveRecord(ctx context.Context, c *client.Client, name, host, pool string) (rock.Record, error) {
	h, err := getHost(ctx, c, host)
	if err != nil {
		return rock.Record{}, err
	}
	if name == "" {
		name = host + "-" + uuid.NewString()[:8]
	}
	body := record.NewMove(record.MoveSpec{
		Host:  host,
		From:  h.Spec().Pool,
		To:    pool,
		State: record.MovePending,
		Since: time.Now().UTC(),
	})
	return record.Encode(rock.NewKey(rock.KindMove, name), 0, body)
}

// getHost returns the body of the host's record.
func getHost(ctx context.Context, c *client.Client, name string) (record.Host, error) {
	r, err := c.Record(ctx, rock.NewKey(rock.KindHost, name), 0)
	if err != nil {
		return record.Host{}, err
	}
	return record.As[record.Host](r)
}

func (a *app) hostDrain() *cobra.Command {
	c := &cobra.Command{
		Use:   "drain HOST [HOST ...]",
		Short: "Give hosts no new work; what runs there ends",
		Args:  cobra.MinimumNArgs(1),
	}
	return a.editHosts(c, func(s *record.HostSpec) error {
		if !s.Open {
			return fmt.Errorf("the host is closed already, by %s", s.ClosedBy)
		}
		s.Open, s.ClosedBy = false, operatorHold
		return nil
	})
}

func (a *app) hostRelease() *cobra.Command {
	c := &cobra.Command{
		Use:   "release HOST [HOST ...]",
		Short: "Give drained hosts work again",
		Args:  cobra.MinimumNArgs(1),
	}
	return a.editHosts(c, func(s *record.HostSpec) error {
		if s.Open {
			return errors.New("the host is open")
		}
		if s.ClosedBy != operatorHold {
			return fmt.Errorf("the host is held by %s, which opens it when it ends", s.ClosedBy)
		}
		s.Open, s.ClosedBy = true, ""
		return nil
	})
}

// editHosts returns a command that changes the records of hosts in one change.
func (a *app) editHosts(c *cobra.Command, edit func(s *record.HostSpec) error) *cobra.Command {
	return a.command(c, func(s *conf.Set) action {
		x := newChangeSettings(s)
		return func(ctx context.Context, args []string) error {
			var records []rock.Record
			for _, name := range args {
				r, err := x.client().Record(ctx, rock.NewKey(rock.KindHost, name), 0)
				if err != nil {
					return err
				}
				r, err = editHost(r, edit)
				if err != nil {
					return rock.Fail("change", r.Key().String(), rock.BadInput, rock.NotRun).Because(err)
				}
				records = append(records, r)
			}
			return a.change(ctx, x, client.Change{Records: records})
		}
	})
}

// editHost returns the record of a host as the edit changes it.
func editHost(r rock.Record, edit func(s *record.HostSpec) error) (rock.Record, error) {
	h, err := record.As[record.Host](r)
	if err != nil {
		return r, err
	}
	var refused error
	h = h.With(func(s *record.HostSpec) { refused = edit(s) })
	if refused != nil {
		return r, refused
	}
	return record.Encode(r.Key(), r.Version(), h)
}
