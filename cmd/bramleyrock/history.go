package main

import (
	"context"
	"strconv"
	"strings"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/client"
	"bramleyrock/io/conf"

	"github.com/spf13/cobra"
)

func (a *app) history() *cobra.Command {
	c := &cobra.Command{
		Use:   "history [KIND/NAME]",
		Short: "Show the changes of a record, or settle a change by its id",
		Args:  cobra.MaximumNArgs(1),
	}
	return a.command(c, func(s *conf.Set) action {
		x := operatorAccess(s)
		output := outputSetting(s)
		id := s.String("change", "", "id of one change", "", nil)
		limit := limitSetting(s)
		return func(ctx context.Context, args []string) error {
			if *id != "" {
				change, err := x.client().FindChange(ctx, *id)
				if err != nil {
					return err
				}
				return a.printChanges([]rock.Change{change}, client.Filter{}, *output)
			}
			f := client.Filter{Limit: *limit}
			if len(args) == 1 {
				key, err := rock.ParseKey(args[0])
				if err != nil {
					return usageError{err}
				}
				f.Kind, f.Name = string(key.Kind()), key.Name()
			}
			return a.listChanges(ctx, x, f, *output)
		}
	})
}

func (a *app) audit() *cobra.Command {
	c := &cobra.Command{
		Use:   "audit",
		Short: "Show who changed what, when, why, from and to",
		Args:  cobra.NoArgs,
	}
	return a.command(c, func(s *conf.Set) action {
		x := operatorAccess(s)
		output := outputSetting(s)
		kind := s.String("kind", "", "only changes of records of this kind", "", nil)
		name := s.String("name", "", "only changes of records of this name", "", nil)
		who := s.String("who", "", "only changes by this author", "", nil)
		since := s.String("since", "", "only changes since this time", "RFC 3339, such as 2026-01-02T03:04:05Z", checkTime)
		after := s.Int("after", 0, 0, 1<<53, "only changes after this revision")
		limit := limitSetting(s)
		return func(ctx context.Context, _ []string) error {
			f := client.Filter{After: rock.Revision(*after), Limit: *limit, Kind: *kind, Name: *name, Who: *who, Since: *since}
			return a.listChanges(ctx, x, f, *output)
		}
	})
}

// limitSetting adds the setting of how many changes are shown.
func limitSetting(s *conf.Set) *int {
	return s.Int("limit", 100, 1, 10000, "greatest number of changes")
}

// checkTime refuses text that is not an RFC 3339 time; "" is none.
func checkTime(text string) error {
	if text == "" {
		return nil
	}
	_, err := time.Parse(time.RFC3339, text)
	return err
}

// listChanges asks for the changes that the filter selects and prints them.
func (a *app) listChanges(ctx context.Context, x access, f client.Filter, output string) error {
	changes, err := x.client().Changes(ctx, f)
	if err != nil {
		return err
	}
	return a.printChanges(changes, f, output)
}

// printChanges prints changes as JSON, or a line for each edit of a record that
// the filter selects.
func (a *app) printChanges(changes []rock.Change, f client.Filter, output string) error {
	if output == "json" {
		return printJSON(a.out, changes)
	}
	rows := [][]string{{"REVISION", "WHEN", "WHO", "WHY", "RECORD", "FROM", "TO"}}
	for _, c := range changes {
		for _, e := range c.Edits() {
			if !selects(f, e.Key()) {
				continue
			}
			rows = append(rows, []string{
				strconv.FormatUint(uint64(c.Revision()), 10),
				c.At().UTC().Format(time.RFC3339),
				c.Who(),
				strings.Join(strings.Fields(c.Why()), " "),
				e.Key().String(),
				bodyOf(e.From()),
				bodyOf(e.To()),
			})
		}
	}
	return printTable(a.out, rows)
}

// selects reports whether the filter selects changes of the record.
func selects(f client.Filter, key rock.Key) bool {
	return (f.Kind == "" || f.Kind == string(key.Kind())) && (f.Name == "" || f.Name == key.Name())
}

// bodyOf returns the body of a record, or "-" for none.
func bodyOf(r *rock.Record) string {
	if r == nil {
		return "-"
	}
	return string(r.Body())
}
