package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"bramleyrock/io/conf"
	"bramleyrock/io/entry"

	"github.com/spf13/cobra"
)

func (a *app) status() *cobra.Command {
	c := &cobra.Command{
		Use:   "status",
		Short: "Show an entry's state, and what moves and waves wait for",
		Args:  cobra.NoArgs,
	}
	return a.command(c, func(s *conf.Set) action {
		x := operatorAccess(s)
		output := outputSetting(s)
		return func(ctx context.Context, _ []string) error {
			status, err := getStatus(ctx, x)
			if err != nil {
				return err
			}
			if *output == "json" {
				return printJSON(a.out, status)
			}
			return a.printStatus(status)
		}
	})
}

// getStatus returns the status page of the entry.
func getStatus(ctx context.Context, x access) (entry.Status, error) {
	var status entry.Status
	raw, err := x.client().Status(ctx)
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal(raw, &status); err != nil {
		return status, fmt.Errorf("decode status: %w", err)
	}
	return status, nil
}

// printStatus prints a status page as text.
func (a *app) printStatus(s entry.Status) error {
	state := "ready"
	if !s.Readiness.Ready {
		state = "not ready: " + strings.Join(s.Readiness.Missing, ", ")
	}
	if len(s.Readiness.Warnings) > 0 {
		state += " (" + strings.Join(s.Readiness.Warnings, ", ") + ")"
	}
	if _, err := fmt.Fprintf(a.out, "entry %s in availability zone %s: %s; revision %d in force\n", s.Name, s.Zone, state, s.Revision); err != nil {
		return err
	}
	pools := [][]string{{"POOL", "IN FLIGHT", "QUEUED", "SLOTS", "WAIT"}}
	for _, p := range s.Pools {
		pools = append(pools, []string{p.Pool, strconv.Itoa(p.InFlight), strconv.Itoa(p.Queued), strconv.Itoa(p.Slots), fmt.Sprintf("%.1f ms", p.WaitMS)})
	}
	peers := [][]string{{"PEER", "ZONE", "REVISION", "HEARD", "ROUND TRIP"}}
	for _, p := range s.Peers {
		peers = append(peers, []string{p.Name, p.Zone, strconv.FormatUint(uint64(p.Revision), 10), p.HeardAt.UTC().Format(time.RFC3339), fmt.Sprintf("%.1f ms", p.RoundTripMS)})
	}
	waiting := [][]string{{"WAITING", "SINCE", "FOR"}}
	for _, w := range s.Waiting {
		waiting = append(waiting, []string{w.Subject, w.Since.UTC().Format(time.RFC3339), w.WaitsFor})
	}
	for _, table := range [][][]string{pools, peers, waiting} {
		if err := printTable(a.out, table); err != nil {
			return err
		}
	}
	return nil
}
