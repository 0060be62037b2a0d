package entry

import (
	rock "bramleyrock"
	"bramleyrock/core/record"
	"bramleyrock/core/wave"
)

// WaveStatus is the progress of a maintenance wave.
type WaveStatus struct {
	// Wave is the name of the wave's record.
	Wave string `json:"wave"`
	// State is the state of the wave.
	State record.WaveState `json:"state"`
	// Hosts counts the hosts of the wave's pools, Done the hosts that
	// were maintained and are open, and Away the hosts that the wave keeps closed.
	Hosts int `json:"hosts"`
	Done  int `json:"done"`
	Away  int `json:"away"`
}

// waveStatus returns the progress of all waves. Identities of an organisation get
// none.
func (e *Entry) waveStatus(id rock.Identity) []WaveStatus {
	all := []WaveStatus{}
	fleet, ok := e.books.Fleet()
	if !ok || id.Organisation() != "" {
		return all
	}
	for _, r := range fleet.Records(rock.KindWave) {
		body, err := record.As[record.Wave](r)
		if err != nil {
			continue
		}
		p, err := wave.ProgressOf(fleet, nil, r)
		if err != nil {
			continue
		}
		all = append(all, WaveStatus{r.Key().Name(), body.Spec().State, p.Hosts(), p.Done(), p.Away()})
	}
	return all
}
