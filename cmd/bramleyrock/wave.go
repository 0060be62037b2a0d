package main

import (
	"context"
	"slices"
	"strconv"

	rock "bramleyrock"
	"bramleyrock/core/record"
	"bramleyrock/io/client"
	"bramleyrock/io/conf"
	"bramleyrock/io/entry"

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
	c := &cobra.Command{Use: "status [NAME]", Short: "Show how far waves are", Args: cobra.MaximumNArgs(1)}
	return a.command(c, func(s *conf.Set) action {
		x := operatorAccess(s)
		output := outputSetting(s)
		return func(ctx context.Context, args []string) error {
			status, err := getStatus(ctx, x)
			if err != nil {
				return err
			}
			waves := status.Waves
			if len(args) == 1 {
				waves = slices.DeleteFunc(waves, func(w entry.WaveStatus) bool { return w.Wave != args[0] })
				if len(waves) == 0 {
					return rock.Fail("show", "wave/"+args[0], rock.NotFound, rock.NotRun)
				}
			}
			if *output == "json" {
				return printJSON(a.out, waves)
			}
			return a.printWaves(waves)
		}
	})
}

// printWaves prints a line for each wave.
func (a *app) printWaves(waves []entry.WaveStatus) error {
	rows := [][]string{{"WAVE", "STATE", "HOSTS", "DONE", "AWAY"}}
	for _, w := range waves {
		rows = append(rows, []string{w.Wave, string(w.State), strconv.Itoa(w.Hosts), strconv.Itoa(w.Done), strconv.Itoa(w.Away)})
	}
	return printTable(a.out, rows)
}
