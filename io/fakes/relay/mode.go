package relay

// Mode is what a relay does with the bytes of a direction.
type Mode string

// The modes.
const (
	// Pass hands bytes on. It is the mode of a new relay.
	Pass Mode = "pass"
	// Stall holds bytes back until another mode is set.
	Stall Mode = "stall"
	// Drop reads bytes and throws them away.
	Drop Mode = "drop"
	// Double hands each piece of bytes on twice.
	Double Mode = "double"
)
