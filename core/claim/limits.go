package claim

// Limits holds the bounds of a [Registry]; zero values mean the defaults.
type Limits struct {
	// MaxKeys is the greatest number of keys remembered; 100,000.
	MaxKeys int
	// MaxAnswerBytes is the greatest size of all answers remembered; 64 MiB. An
	// answer beyond it is forgotten, the oldest first, but not its key.
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
