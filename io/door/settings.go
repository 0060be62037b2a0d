package door

import (
	"net/http"

	"github.com/sirupsen/logrus"
)

// Settings holds the parts of a [Door].
type Settings struct {
	// Name names the door in logs, such as "caller".
	Name string
	// Address is the IP address and port; port 0 takes a free one.
	Address string
	// Handler answers the requests.
	Handler http.Handler
	// Limits bounds what the door takes.
	Limits Limits
	// Log is where the door writes.
	Log logrus.FieldLogger
}
