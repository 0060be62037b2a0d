package door

import (
	"net/http"

	"github.com/sirupsen/logrus"
)

// Settings holds the dependencies and limits of a [Door].
type Settings struct {
	// Name is the name of the door in logs and errors, such as "caller".
	Name string
	// Address is the IP address and port to listen on; port 0 selects a free
	// port.
	Address string
	// Handler handles the requests that are within the limits.
	Handler http.Handler
	// Limits are the limits of the door.
	Limits Limits
	// Log is the logger.
	Log logrus.FieldLogger
}
