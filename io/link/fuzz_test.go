package link_test

import (
	"encoding/hex"
	"testing"

	"bramleyrock/io/link"
)

// FuzzDecode checks that no message can crash an entry.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		"a301646361 6c6c0201",
		"a401646361 6c6c020103646265617405a10107",
		"a401646361 6c6c020103676368616e67657305a2010102 0a",
		"a401646361 6c6c020103676 6f72776172640 5a10162",
		"ff", "bfff", "9b7fffffffffffffff", "",
	} {
		clean := ""
		for _, r := range s {
			if r != ' ' {
				clean += string(r)
			}
		}
		data, err := hex.DecodeString(clean)
		if err != nil {
			data = []byte(s)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) { _ = link.Decode(data) })
}
