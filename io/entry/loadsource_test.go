package entry

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/plan"
	"bramleyrock/io/fakes/fleet"

	"gotest.tools/v3/assert"
)

// singlePeerSet is a [rock.PeerSet] with one peer, which has 3 requests in flight
// and 4 queued in pool tins.
type singlePeerSet struct{}

func (singlePeerSet) Alive(now time.Time) []rock.PeerView {
	h := rock.NewHeartbeat(rock.Member{}, 1, false, []rock.PoolLoad{rock.NewPoolLoad("tins", 3, 4, 8, 0)})
	return []rock.PeerView{rock.NewPeerView(nil, h, now, 0)}
}

func (singlePeerSet) Find(string) (rock.PeerView, bool) { return rock.PeerView{}, false }

// Guards against a demand that lacks the queued requests or the load of a peer,
// closed hosts that count as available, and samples of pools without hosts.
func TestLoadsSumsOwnAndPeers(t *testing.T) {
	record := func(kind rock.Kind, name, body string) rock.Record {
		return rock.NewRecord(rock.NewKey(kind, name), 1, 0, []byte(body))
	}
	source := loadSource{
		ownLoads: func(time.Time) []rock.PoolLoad { return []rock.PoolLoad{rock.NewPoolLoad("tins", 1, 2, 8, 0)} },
		peers:    singlePeerSet{},
		fleet: fleet.NewBook(nil,
			record(rock.KindPool, "tins", `{"organisation":"alpha","spare":false}`),
			record(rock.KindPool, "lids", `{"organisation":"alpha","spare":false}`),
			record(rock.KindHost, "h1", `{"address":"127.0.0.1:9001","zone":"a","rack":"a1","pool":"tins","slots":8,"open":true}`),
			record(rock.KindHost, "h2", `{"address":"127.0.0.1:9002","zone":"a","rack":"a1","pool":"tins","slots":8,"open":false}`)),
	}
	assert.DeepEqual(t, source.Loads(time.Now()), []plan.Sample{{Pool: "tins", Demand: 10, Hosts: 2, Unavailable: 1}})
}
