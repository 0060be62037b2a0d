package drive

import (
	"time"
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}
