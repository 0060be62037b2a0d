package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	rock "bramleyrock"
	"bramleyrock/core/record"
	"bramleyrock/io/client"
	"bramleyrock/io/conf"

	"github.com/spf13/cobra"
)

func (a *app) wave() *cobra.Command {
	c := &cobra.Command{Use: "wave", Short: "Maintain many hosts, as many at once as the budgets allow"}
	c.AddCommand(
		a.wavePlan(),
		a.waveState("start", "Start a planned wave", record.WaveRunning, record.WavePlanned),
		a.waveState("pause", "Begin no more hosts; those begun are finished", record.WavePaused, record.WaveRunning),
		a.waveState("resume", "Go on with a paused wave", record.WaveRunning, record.WavePaused),
		a.waveState("abort", "End a wave; hosts that were begun are finished", record.WaveAborted, record.WavePlanned, record.WaveRunning, record.WavePaused),
		a.waveStatus(),
	)
	return c
}

func (a *app) wavePlan() *cobra.Command {
	c := &cobra.Command{
		Use:   "plan NAME POOL [POOL ...]",
		Short: "Plan a wave over all hosts of pools",
		Args:  cobra.MinimumNArgs(2),
	}
	return a.command(c, func(s *conf.Set) action {
		x := newChangeSettings(s)
		act := s.OneOf("action", "what is done to each host", string(record.RebootAction), string(record.DrainAction))
		parallel := s.Int("max-parallel", 4, 1, 1000, "greatest number of hosts at once, below what the budgets allow")
		return func(ctx context.Context, args []string) error {
			body := record.NewWave(record.WaveSpec{
				Pools:       args[1:],
				Action:      record.Action(*act),
				State:       record.WavePlanned,
				MaxParallel: *parallel,
			})
			r, err := record.Encode(rock.NewKey(rock.KindWave, args[0]), 0, body)
			if err != nil {
				return err
			}
			return a.change(ctx, x, client.Change{Records: []rock.Record{r}})
		}
	})
}

// waveState returns a command that brings a wave from one of some states into
// another.
func (a *app) waveState(verb, short string, to record.WaveState, from ...record.WaveState) *cobra.Command {
	c := &cobra.Command{Use: verb + " NAME", Short: short, Args: cobra.ExactArgs(1)}
	return a.command(c, func(s *conf.Set) action {
		x := newChangeSettings(s)
		return func(ctx context.Context, args []string) error {
			r, err := x.client().Record(ctx, rock.NewKey(rock.KindWave, args[0]), 0)
			if err != nil {
				return err
			}
			w, err := record.As[record.Wave](r)
			if err != nil {
				return err
			}
			if state := w.Spec().State; !slices.Contains(from, state) {
				return rock.Fail(verb, r.Key().String(), rock.Conflict, rock.NotRun).Becausef("the wave is %s, want one of %v", state, from)
			}
			w = w.With(func(s *record.WaveSpec) { s.State = to })
			r, err = record.Encode(r.Key(), r.Version(), w)
			if err != nil {
				return err
			}
			return a.change(ctx, x, client.Change{Records: []rock.Record{r}})
		}
	})
}

func (a *app) waveStatus() *cobra.Command {
	c := &cobra.Command{Use: "status [NAME]", Short: "Show how far waves are and what they wait for", Args: cobra.MaximumNArgs(1)}
	return a.command(c, func(s *conf.Set) action {
		x := operatorAccess(s)
		output := outputSetting(s)
		return func(ctx context.Context, args []string) error {
			arg := string(rock.KindWave)
			if len(args) == 1 {
				arg += "/" + args[0]
			}
			records, err := getRecords(ctx, x, arg, 0)
			if err != nil {
				return err
			}
			if *output == "json" {
				return printJSON(a.out, records)
			}
			return a.printWaves(records)
		}
	})
}

// printWaves prints a line for each wave.
func (a *app) printWaves(records []rock.Record) error {
	rows := [][]string{{"WAVE", "STATE", "ACTION", "POOLS", "PROGRESS"}}
	for _, r := range records {
		w, err := record.As[record.Wave](r)
		if err != nil {
			return err
		}
		s := w.Spec()
		rows = append(rows, []string{r.Key().Name(), string(s.State), string(s.Action), strings.Join(s.Pools, ","), progress(w.Extra())})
	}
	return printTable(a.out, rows)
}

// progress returns the fields that say how far a wave is, in one cell.
func progress(e record.Extra) string {
	var cells []string
	for _, name := range e.Names() {
		cells = append(cells, fmt.Sprintf("%s=%s", name, e.Get(name)))
	}
	if len(cells) == 0 {
		return "-"
	}
	return strings.Join(cells, " ")
}
