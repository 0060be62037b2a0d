package claim

// Limits holds the bounds of a [Registry]; zero values mean the defaults.
type Limits struct {
	// MaxKeys is the greatest number of keys held; the default is 100,000.
	MaxKeys int
	// MaxAnswerBytes is the greatest total size of the answers held, in bytes;
	// the default is 64 MiB. Beyond it the oldest answers are dropped, but their
	// keys are still held.
	MaxAnswerBytes int
}

func (l Limits) withDefaults() Limits {
	if l.MaxKeys <= 0 {
		l.MaxKeys = 100_000
	}
	if l.MaxAnswerBytes <= 0 {
		l.MaxAnswerBytes = 64 << 20
	}
	return l
}
