package entry

import (
	"time"

	"bramleyrock/io/door"
	"bramleyrock/io/front"

	"github.com/sirupsen/logrus"
)

// Settings holds the parts of an [Entry]. Name, Zone, Platform, PeerSecret and
// Log are required.
type Settings struct {
	// Name is the entry's name, unique in the deployment.
	Name string
	// Zone is the availability zone.
	Zone string
	// CallerAddress, OperatorAddress and PeerAddress are the addresses of the
	// doors; port 0 takes a free one.
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// PlatformURL is the URL of the platform's services.
	PlatformURL string
	// PlatformToken is the bearer token for the platform, or "".
	PlatformToken string
	// PeerAddresses are the peer doors of other entries, known before the platform
	// can be asked.
	PeerAddresses []string
	// PeerSecret is shared by all entries.
	PeerSecret string
	// OperatorDigest is the digest of the token of the operator of the whole
	// system, or "".
	OperatorDigest string
	// DoorLimits bounds what the doors take.
	DoorLimits door.Limits
	// RequestLimits bounds requests.
	RequestLimits front.Limits
	// BalancerDelay is how long a stopping entry goes on taking requests
	// while the balancer notices that it is not ready.
	BalancerDelay time.Duration
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
	// PollInterval is the time between readings of the platform's head row.
	PollInterval time.Duration
	// Seed seeds random choices.
	Seed uint64
	// Log is where the parts write.
	Log logrus.FieldLogger
}
