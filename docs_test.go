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

// TestProofNamesWhatExists guards against documentation that names a test,
// benchmark or trace that was renamed or deleted.
func TestProofNamesWhatExists(t *testing.T) {
	tests, traces := findTestsAndTraces(t)
	measures, err := filepath.Glob("docs/measures/*.md")
	assert.NilError(t, err)
	for _, page := range append(measures, "docs/PROOF.md", "docs/MEASURES.md", "docs/CAPACITY.md") {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, name := range namedTest.FindAllString(string(text), -1) {
			assert.Check(t, tests[name], "%s names %s, which does not exist", page, name)
		}
		for _, name := range namedTrace.FindAllString(string(text), -1) {
			assert.Check(t, traces[filepath.Base(name)], "%s names %s, which does not exist", page, name)
		}
	}
}

// TestProofRowsNameARun guards against a claim in the table of docs/PROOF.md that
// neither names a test nor is marked as not proved.
func TestProofRowsNameARun(t *testing.T) {
	text, err := os.ReadFile("docs/PROOF.md")
	assert.NilError(t, err)
	rows := 0
	for line := range strings.Lines(string(text)) {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| id ") || strings.HasPrefix(line, "| ---") {
			continue
		}
		rows++
		ok := namedTest.MatchString(line) || strings.Contains(line, "not proved")
		assert.Check(t, ok, "row names no test and is not marked \"not proved\": %s", line)
	}
	assert.Assert(t, rows > 0)
}

// findTestsAndTraces returns the names of all tests, fuzz tests and benchmarks
// and the file names of all traces in the module.
func findTestsAndTraces(t *testing.T) (tests, traces map[string]bool) {
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
