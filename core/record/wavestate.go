package record

// WaveState is the state of a maintenance wave.
type WaveState string

// The states of a wave.
const (
	// WavePlanned means that the wave has not begun.
	WavePlanned WaveState = "planned"
	// WaveRunning means that hosts are being maintained.
	WaveRunning WaveState = "running"
	// WavePaused means that the maintenance of no further host is started.
	WavePaused WaveState = "paused"
	// WaveAborted means that the wave was ended before all hosts were maintained.
	WaveAborted WaveState = "aborted"
	// WaveDone means that all hosts were maintained.
	WaveDone WaveState = "done"
)

// Ended reports whether the state is final.
func (s WaveState) Ended() bool { return s == WaveAborted || s == WaveDone }
