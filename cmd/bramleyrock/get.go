package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	rock "bramleyrock"
	"bramleyrock/io/conf"

	"github.com/spf13/cobra"
)

func (a *app) get() *cobra.Command {
	c := &cobra.Command{
		Use:   "get KIND | KIND/NAME ...",
		Short: "Show records",
		Args:  cobra.MinimumNArgs(1),
	}
	return a.command(c, func(s *conf.Set) action {
		x := operatorAccess(s)
		output := outputSetting(s)
		schema := s.Int("schema-version", 0, 0, 1000, "schema version of the bodies, 0 for as stored")
		return func(ctx context.Context, args []string) error {
			var records []rock.Record
			for _, arg := range args {
				found, err := getRecords(ctx, x, arg, *schema)
				if err != nil {
					return err
				}
				records = append(records, found...)
			}
			return a.printRecords(records, *output)
		}
	})
}

// getRecords returns all records of a kind, or the one that arg names.
func getRecords(ctx context.Context, x access, arg string, schema int) ([]rock.Record, error) {
	if !strings.Contains(arg, "/") {
		kind := rock.Kind(arg)
		if !kind.Valid() {
			return nil, usageError{fmt.Errorf("unknown kind %q: want one of %v", arg, rock.Kinds())}
		}
		return x.client().Records(ctx, kind, schema)
	}
	key, err := rock.ParseKey(arg)
	if err != nil {
		return nil, usageError{err}
	}
	r, err := x.client().Record(ctx, key, schema)
	return []rock.Record{r}, err
}

// printRecords prints records as a table or as JSON that apply reads.
func (a *app) printRecords(records []rock.Record, output string) error {
	if output == "json" {
		return printJSON(a.out, records)
	}
	rows := [][]string{{"RECORD", "SCHEMA", "VERSION", "BODY"}}
	for _, r := range records {
		rows = append(rows, []string{r.Key().String(), strconv.Itoa(r.Schema()), strconv.FormatUint(r.Version(), 10), string(r.Body())})
	}
	return printTable(a.out, rows)
}
