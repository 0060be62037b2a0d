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
	// LoadShare is the mean load of a pool as a share of its slots; 0 means
	// 0.55.
	LoadShare float64
	// Seed seeds the arrivals and the work.
	Seed uint64
	// Progress is told what the trial is doing; nil for nobody.
	Progress func(line string)
	// Log is where the entries write.
	Log logrus.FieldLogger
}

// withDefaults returns s with defaults in place of zeros.
func (s Settings) withDefaults() Settings {
	if s.LoadShare == 0 {
		s.LoadShare = defaultLoadShare
	}
	return s
}

// progress tells what the trial is doing.
func (s Settings) progress(line string) {
	if s.Progress != nil {
		s.Progress(line)
	}
}
