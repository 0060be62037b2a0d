package feed_test

import (
	"testing"

	rock "bramleyrock"
	"bramleyrock/core/feed"

	"gotest.tools/v3/assert"
)

func TestCheck(t *testing.T) {
	c, err := feed.Build(7, []rock.Record{
		*newOrganisation("alpha", "a"), *newPool("tins", "alpha"), *newPool("lids", "alpha"), *newHost(1, "tins", 3),
		*newRecord(rock.KindPool, "small", 2, 1, `{"owner":{"shared":true},"max_slots":8}`),
		*newRecord(rock.KindHost, "free", 1, 1, `{"address":"10.9.0.1:1","zone":"a","slots":8}`),
		*newRecord(rock.KindBudget, "b1", 1, 1, `{"pool":"lids","min_available":1}`),
		*newRecord(rock.KindMove, "m1", 1, 1, `{"host":"free","from":"","to":"tins","state":"wanted"}`),
	})
	assert.NilError(t, err)
	moved := `{"address":"10.0.0.1:9000","zone":"z1","slots":8,"pool":"lids","generation":%d}`
	cases := map[string]struct {
		edits []rock.Edit
		want  string
	}{
		"fine":                    {[]rock.Edit{createEdit(newHost(2, "tins", 1))}, ""},
		"pool and host at once":   {[]rock.Edit{createEdit(newPool("new", "alpha")), createEdit(newHost(2, "new", 1))}, ""},
		"host and pool at once":   {[]rock.Edit{createEdit(newHost(2, "new", 1)), createEdit(newPool("new", "alpha"))}, ""},
		"unknown organisation":    {[]rock.Edit{createEdit(newPool("new", "beta"))}, `field organisation: got "beta"`},
		"unknown pool":            {[]rock.Edit{createEdit(newHost(2, "none", 1))}, `field pool: got "none"`},
		"budget of unknown pool":  {[]rock.Edit{createEdit(newRecord(rock.KindBudget, "b", 1, 1, `{"pool":"x","min_available":1}`))}, `got "x"`},
		"move of unknown host":    {[]rock.Edit{createEdit(newRecord(rock.KindMove, "m", 1, 1, `{"host":"x","from":"tins","to":"lids","state":"wanted"}`))}, "field host"},
		"wave of unknown pool":    {[]rock.Edit{createEdit(newRecord(rock.KindWave, "w", 1, 1, `{"pools":["tins","x"],"action":"reboot","state":"planned","max_parallel":1}`))}, "pools[1]"},
		"address in use":          {[]rock.Edit{createEdit(newRecord(rock.KindHost, "h7", 1, 1, `{"address":"10.0.0.1:9000","zone":"a","slots":1}`))}, "host h1 has it"},
		"address twice":           {[]rock.Edit{createEdit(newHost(5, "tins", 1)), createEdit(newRecord(rock.KindHost, "h7", 1, 1, `{"address":"10.0.0.5:9000","zone":"a","slots":1}`))}, "host h5 has it"},
		"token in use":            {[]rock.Edit{createEdit(newOrganisation("beta", "a"))}, "tokens[0].digest"},
		"token twice":             {[]rock.Edit{createEdit(newOrganisation("beta", "b")), createEdit(newOrganisation("gamma", "b"))}, "tokens[0].digest"},
		"pool of a host":          {[]rock.Edit{deleteEdit(newPool("tins", "alpha"))}, "in use by host/h1"},
		"pool of a budget":        {[]rock.Edit{deleteEdit(newPool("lids", "alpha"))}, "in use by budget/b1"},
		"organisation of a pool":  {[]rock.Edit{deleteEdit(newOrganisation("alpha", "a"))}, "in use by pool/"},
		"host in a pool":          {[]rock.Edit{deleteEdit(newHost(1, "tins", 3))}, "move it out"},
		"host that moves":         {[]rock.Edit{deleteEdit(newRecord(rock.KindHost, "free", 1, 1, ``))}, "in use by move/m1"},
		"too many slots":          {[]rock.Edit{createEdit(newHost(2, "small", 1)), createEdit(newHost(3, "small", 1))}, "would have 16 slots"},
		"limit below slots":       {[]rock.Edit{createEdit(newHost(2, "small", 1)), replaceEdit(newRecord(rock.KindPool, "small", 2, 1, ``), newRecord(rock.KindPool, "small", 2, 2, `{"owner":{"shared":true},"max_slots":4}`))}, "max_slots is 4"},
		"pool in same generation": {[]rock.Edit{replaceEdit(newHost(1, "tins", 3), newRecord(rock.KindHost, "h1", 1, 2, moved, 3))}, "want a greater generation"},
		"generation decreases":    {[]rock.Edit{replaceEdit(newHost(1, "tins", 3), newRecord(rock.KindHost, "h1", 1, 2, moved, 2))}, "want 3 or more"},
		"pool in next generation": {[]rock.Edit{replaceEdit(newHost(1, "tins", 3), newRecord(rock.KindHost, "h1", 1, 2, moved, 4))}, ""},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			after, err := c.Check(x.edits)
			if x.want == "" {
				assert.NilError(t, err)
				assert.Equal(t, after.Revision(), rock.Revision(8))
				return
			}
			assert.ErrorContains(t, err, x.want)
			assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
		})
	}
}
