package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"bramleyrock/io/conf"
)

// outputSetting adds the setting that chooses between text and JSON.
func outputSetting(s *conf.Set) *string {
	return s.OneOf("output", "form of the output", "text", "json")
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable writes rows of cells in aligned columns, the first as a heading.
func printTable(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		if _, err := fmt.Fprintln(t, strings.Join(r, "\t")); err != nil {
			return err
		}
	}
	return t.Flush()
}
