package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
	"bramleyrock/io/client"

	"gotest.tools/v3/assert"
)

const (
	// controlWindow is how long the cost of control is observed.
	controlWindow = 20 * time.Second
	// controlInterval is the time between changes: 17,000 a day.
	controlInterval = 24 * time.Hour / 17_000
	// ticksPerSecond is the unit of processor time in the process status.
	ticksPerSecond = 100
)

// BenchmarkEntryControl measures what control costs an entry without load: nine
// entries in eight availability zones, each a process, with 27 pools, 570
// organisations and so many hosts, and 17,000 changes a day.
func BenchmarkEntryControl(b *testing.B) {
	for _, hosts := range []int{50, 500, 5500} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				measureControl(b, hosts)
			}
		})
	}
}

// usage is what a process has used so far.
type usage struct {
	seconds  float64
	bytes    float64
	resident float64
}

func measureControl(b *testing.B, hosts int) {
	binary, err := buildPlain()
	assert.NilError(b, err)
	platform := startBinary(b, binary, "platform", "stand-in", "platform", "--address", "127.0.0.1:0").addresses(1)["platform"]
	setFaults(b, platform, `{"writes_per_second":1e9,"reads_per_second":1e9}`)
	var entries []*process
	var operator string
	for i := range 9 {
		zone := fmt.Sprintf("z%d", i%8+1)
		name := fmt.Sprintf("e%d", i+1)
		p := startBinary(b, binary, name, "entry", "--name", name, "--zone", zone,
			"--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
			"--platform", "http://"+platform, "--peer-secret", peerSecret, "--operator-digest", record.Digest(operatorToken))
		operator = p.addresses(3)["operator"]
		entries = append(entries, p)
	}
	c := client.New(client.Settings{BaseURL: "http://" + operator, Token: operatorToken})
	setUpControl(b, c, hosts)
	setFaults(b, platform, `{}`)
	time.Sleep(5 * time.Second)
	before := make([]usage, len(entries))
	for i, p := range entries {
		before[i] = readUsage(b, p.command.Process.Pid)
	}
	for end := time.Now().Add(controlWindow); time.Now().Before(end); time.Sleep(controlInterval) {
		changeQuota(b, c)
	}
	var worst usage
	for i, p := range entries {
		after := readUsage(b, p.command.Process.Pid)
		worst.seconds = max(worst.seconds, after.seconds-before[i].seconds)
		worst.bytes = max(worst.bytes, after.bytes-before[i].bytes)
		worst.resident = max(worst.resident, after.resident)
	}
	b.ReportMetric(100*worst.seconds/controlWindow.Seconds(), "%core")
	b.ReportMetric(worst.bytes/controlWindow.Seconds(), "B/s")
	b.ReportMetric(worst.resident/(1<<20), "MB")
	for _, p := range entries {
		assert.NilError(b, p.command.Process.Kill())
	}
}

// setUpControl applies the records of the planned size.
func setUpControl(b *testing.B, c *client.Client, hosts int) {
	const pools, organisations = 27, 570
	var all []rock.Record
	add := func(kind rock.Kind, name string, body record.Body) {
		r, err := record.Encode(rock.NewKey(kind, name), 0, body)
		assert.NilError(b, err)
		all = append(all, r)
	}
	for i := range organisations {
		add(rock.KindOrganisation, fmt.Sprintf("o%d", i), record.NewOrganisation(100, record.NewToken("caller", record.Digest(fmt.Sprintf("token-%d", i)), rock.CallerRole)))
	}
	for i := range pools {
		add(rock.KindPool, fmt.Sprintf("p%d", i), record.NewPool(fmt.Sprintf("o%d", i), false))
		add(rock.KindBudget, fmt.Sprintf("p%d", i), record.NewBudget(record.BudgetSpec{Pool: fmt.Sprintf("p%d", i), MinAvailable: record.CountLimit(1)}))
	}
	for i := range hosts {
		add(rock.KindHost, fmt.Sprintf("h%d", i), record.NewHost(record.HostSpec{
			Address: fmt.Sprintf("10.%d.%d.1:9000", i/250, i%250), Zone: fmt.Sprintf("z%d", i%8+1), Rack: fmt.Sprintf("r%d", i/4),
			Pool: fmt.Sprintf("p%d", i%pools), Generation: 1, Slots: 8, Open: true,
		}))
	}
	const part = 1000
	for begin := 0; begin < len(all); begin += part {
		_, err := c.Change(context.Background(), client.Change{ChangeID: fmt.Sprintf("set-up-%d", begin), Records: all[begin:min(begin+part, len(all))]})
		assert.NilError(b, err)
	}
}

// changeQuota makes one change.
func changeQuota(b *testing.B, c *client.Client) {
	r, err := c.Record(context.Background(), rock.NewKey(rock.KindOrganisation, "o1"), 0)
	assert.NilError(b, err)
	quota := record.NewOrganisation(int(r.Version()), record.NewToken("caller", record.Digest("token-1"), rock.CallerRole))
	next, err := record.Encode(r.Key(), r.Version(), quota)
	assert.NilError(b, err)
	_, err = c.Change(context.Background(), client.Change{ChangeID: fmt.Sprintf("quota-%d", r.Version()), Records: []rock.Record{next}})
	assert.NilError(b, err)
}

func setFaults(b *testing.B, platform, faults string) {
	resp, err := http.Post("http://"+platform+"/faults", "application/json", strings.NewReader(faults))
	assert.NilError(b, err)
	assert.NilError(b, resp.Body.Close())
}

// readUsage reads what a process has used from the process status.
func readUsage(b *testing.B, pid int) usage {
	dir := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(dir + "/stat")
	assert.NilError(b, err)
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	number := func(text string) float64 {
		n, err := strconv.ParseFloat(text, 64)
		assert.NilError(b, err)
		return n
	}
	u := usage{
		seconds:  (number(fields[11]) + number(fields[12])) / ticksPerSecond,
		resident: number(fields[21]) * float64(os.Getpagesize()),
	}
	io, err := os.ReadFile(dir + "/io")
	assert.NilError(b, err)
	for line := range strings.Lines(string(io)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "rchar" || name == "wchar" {
			u.bytes += number(value)
		}
	}
	return u
}
