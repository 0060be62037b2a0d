package trial

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Settings holds the parts of a trial.
type Settings struct {
	// Deployment is the shape of the fleet.
	Deployment Deployment
	// Length is how long the load lasts.
	Length time.Duration
	// Seed seeds the arrivals and the work.
	Seed uint64
	// Progress is told what the trial is doing; nil for nobody.
	Progress func(line string)
	// Log is where the entries write.
	Log logrus.FieldLogger
}

// progress tells what the trial is doing.
func (s Settings) progress(line string) {
	if s.Progress != nil {
		s.Progress(line)
	}
}
