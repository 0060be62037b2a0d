package claim

// Limits holds the bounds of a [Registry]; zero values mean the defaults.
type Limits struct {
	// MaxKeys is the greatest number of keys remembered; 100,000.
	MaxKeys int
	// AnswerBytes is the greatest size of all answers remembered; 64 MiB. An
	// answer beyond it is forgotten, the oldest first, but not its key.
	AnswerBytes int
}

func (l Limits) withDefaults() Limits {
	if l.MaxKeys <= 0 {
		l.MaxKeys = 100_000
	}
	if l.AnswerBytes <= 0 {
		l.AnswerBytes = 64 << 20
	}
	return l
}
