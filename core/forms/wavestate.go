package forms

// WaveState is the state of a wave.
type WaveState string

// The states of a wave.
const (
	WavePlanned WaveState = "planned"
	WaveRunning WaveState = "running"
	WavePaused  WaveState = "paused"
	WaveAborted WaveState = "aborted"
	WaveDone    WaveState = "done"
)

// Ended reports whether a wave in this state goes no further.
func (s WaveState) Ended() bool { return s == WaveAborted || s == WaveDone }
