package logs_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"bramleyrock/io/logs"

	"gotest.tools/v3/assert"
)

func TestTextLineHasPrefixAndOneLine(t *testing.T) {
	var out bytes.Buffer
	log, err := logs.New(&out, "text", "info")
	assert.NilError(t, err)
	log.WithField("part", "front").WithField("pool", "tins").WithField("name", "two words").Info("Request\nwas refused.")
	_, line, _ := strings.Cut(out.String(), " ")
	assert.Equal(t, line, "INFO front: Request\\nwas refused. name=\"two words\" pool=tins\n")
}

func TestJSONLineHasPart(t *testing.T) {
	var out bytes.Buffer
	log, err := logs.New(&out, "json", "info")
	assert.NilError(t, err)
	log.WithField("part", "front").Debug("Not shown.")
	log.WithField("part", "front").Warn("Shown.")
	var line struct{ Part, Message, Level string }
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line.Part+" "+line.Level+" "+line.Message, "front warning Shown.")
}

func TestNewRejectsUnknownFormatAndLevel(t *testing.T) {
	_, err := logs.New(nil, "xml", "info")
	assert.ErrorContains(t, err, `unknown format "xml"`)
	_, err = logs.New(nil, "text", "loud")
	assert.ErrorContains(t, err, "loud")
}
