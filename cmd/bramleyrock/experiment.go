package main

import (
	"context"
	"fmt"
	"strconv"

	"bramleyrock/io/conf"
	"bramleyrock/io/fakes/drive"

	"github.com/spf13/cobra"
)

func (a *app) experiment() *cobra.Command {
	c := &cobra.Command{
		Use:   "experiment",
		Short: "Compare ways of queueing and placing in virtual time",
	}
	c.AddCommand(a.experimentSurge(), a.experimentSharing())
	return c
}

// seedsSetting adds the number of seeds; the returned function gives them.
func seedsSetting(s *conf.Set) func() []uint64 {
	count := s.Int("seeds", 3, 1, 100, "number of seeds to play, from 1 on")
	return func() []uint64 {
		seeds := make([]uint64, *count)
		for i := range seeds {
			seeds[i] = uint64(i + 1)
		}
		return seeds
	}
}

func (a *app) experimentSurge() *cobra.Command {
	c := &cobra.Command{
		Use:   "surge",
		Short: "Play a surge of one of five pools in each way of queueing and placing",
		Args:  cobra.NoArgs,
	}
	return a.command(c, func(s *conf.Set) action {
		seeds := seedsSetting(s)
		return func(context.Context, []string) error {
			rows := [][]string{{"WAY", "USEFUL", "LATE", "REFUSED", "OTHERS P99", "OTHERS RATIO"}}
			for _, r := range drive.Surges(seeds()...) {
				rows = append(rows, []string{
					r.Way(), fmt.Sprintf("%.3f", r.Useful()), strconv.Itoa(r.Late()), strconv.Itoa(r.Refused()),
					r.OthersP99().String(), fmt.Sprintf("%.2f", r.WorstRatio()),
				})
			}
			return printTable(a.out, rows)
		}
	})
}

func (a *app) experimentSharing() *cobra.Command {
	c := &cobra.Command{
		Use:   "sharing",
		Short: "Play a load on entries of one zone in each way of sharing its hosts",
		Args:  cobra.NoArgs,
	}
	return a.command(c, func(s *conf.Set) action {
		seeds := seedsSetting(s)
		entries := s.Int("entries", 2, 1, 9, "number of entries")
		load := s.Int("load-percent", 80, 1, 99, "load as a percentage of the slots")
		return func(context.Context, []string) error {
			rows := [][]string{{"WAY", "WAIT P50", "WAIT P99", "WORST", "REFUSALS/1000", "LOST/1000"}}
			for _, r := range drive.Sharings(*entries, float64(*load)/100, seeds()...) {
				rows = append(rows, []string{
					r.Way(), r.Wait(0.5).String(), r.Wait(0.99).String(), r.Wait(1).String(),
					fmt.Sprintf("%.1f", r.Refusals()), fmt.Sprintf("%.1f", r.Lost()),
				})
			}
			return printTable(a.out, rows)
		}
	})
}
