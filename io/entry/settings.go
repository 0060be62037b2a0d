package entry

import (
	"time"

	"bramleyrock/io/door"
	"bramleyrock/io/front"

	"github.com/sirupsen/logrus"
)

// Settings configures an [Entry]. Name, Zone, PlatformURL, PeerSecret and Log are
// required.
type Settings struct {
	// Name is the entry's name, unique in the deployment.
	Name string
	// Zone is the availability zone.
	Zone string
	// CallerAddress, OperatorAddress and PeerAddress are the addresses that the
	// doors listen on, as HOST:PORT; port 0 selects a free port.
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// PlatformURL is the base URL of the platform's services.
	PlatformURL string
	// PlatformToken is the bearer token for the platform, or "" for none.
	PlatformToken string
	// PeerAddresses are the addresses of other entries' peer doors, used to find
	// peers before the status rows have been read from the platform.
	PeerAddresses []string
	// PeerSecret authenticates entries to each other; all entries share it.
	PeerSecret string
	// OperatorDigest is the digest of the bootstrap token of an operator of the
	// whole system, or "" for none.
	OperatorDigest string
	// DoorLimits bounds the connections and requests of each door.
	DoorLimits door.Limits
	// RequestLimits bounds callers' requests.
	RequestLimits front.Limits
	// BalancerDelay is how long an entry that shuts down continues to accept
	// requests until the load balancer has noticed that it is not ready.
	BalancerDelay time.Duration
	// StopTimeout bounds a graceful shutdown, BalancerDelay included.
	StopTimeout time.Duration
	// PollInterval is the time between reads of the platform's head row, which
	// holds the newest revision.
	PollInterval time.Duration
	// Seed seeds random choices.
	Seed uint64
	// Log receives the log messages of all components.
	Log logrus.FieldLogger
}
