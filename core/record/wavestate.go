package record

// WaveState is the state of a maintenance wave.
type WaveState string

// The states of a wave.
const (
	// WavePlanned means that the wave has not begun.
	WavePlanned WaveState = "planned"
	// WaveRunning means that hosts are being maintained.
	WaveRunning WaveState = "running"
	// WavePaused means that no further host is taken.
	WavePaused WaveState = "paused"
	// WaveAborted means that the wave ended before its last host.
	WaveAborted WaveState = "aborted"
	// WaveDone means that every host was maintained.
	WaveDone WaveState = "done"
)

// Ended reports whether the state is final.
func (s WaveState) Ended() bool { return s == WaveAborted || s == WaveDone }
