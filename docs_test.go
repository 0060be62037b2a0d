package rock_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	namedTest  = regexp.MustCompile(`\b(Test|Fuzz|Benchmark)[A-Z]\w*`)
	namedTrace = regexp.MustCompile(`[\w/.-]+\.jsonl`)
	testFunc   = regexp.MustCompile(`(?m)^func ((Test|Fuzz|Benchmark)[A-Z]\w*)\(`)
)

// TestProofNamesWhatExists checks that every test, benchmark and trace that
// the pages on proof and measures name exists.
func TestProofNamesWhatExists(t *testing.T) {
	tests, traces := inventory(t)
	measures, err := filepath.Glob("docs/measures/*.md")
	assert.NilError(t, err)
	for _, page := range append(measures, "docs/PROOF.md", "docs/MEASURES.md", "docs/CAPACITY.md") {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, name := range namedTest.FindAllString(string(text), -1) {
			assert.Check(t, tests[name], "%s names %s", page, name)
		}
		for _, name := range namedTrace.FindAllString(string(text), -1) {
			assert.Check(t, traces[filepath.Base(name)], "%s names %s", page, name)
		}
	}
}

// TestProofRowsNameARun checks that every row of the table of what is proved
// names a test, or says that it is not proved.
func TestProofRowsNameARun(t *testing.T) {
	text, err := os.ReadFile("docs/PROOF.md")
	assert.NilError(t, err)
	rows := 0
	for line := range strings.Lines(string(text)) {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| id ") || strings.HasPrefix(line, "| ---") {
			continue
		}
		rows++
		named := namedTest.MatchString(line) || strings.Contains(line, "not proved")
		assert.Check(t, named, "row without a run: %s", line)
	}
	assert.Assert(t, rows > 0)
}

// inventory returns the names of all tests and of all traces of the module.
func inventory(t *testing.T) (tests, traces map[string]bool) {
	t.Helper()
	tests, traces = map[string]bool{}, map[string]bool{}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case strings.HasSuffix(path, ".jsonl"):
			traces[d.Name()] = true
		case strings.HasSuffix(path, "_test.go"):
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, m := range testFunc.FindAllStringSubmatch(string(text), -1) {
				tests[m[1]] = true
			}
		}
		return nil
	})
	assert.NilError(t, err)
	return tests, traces
}
