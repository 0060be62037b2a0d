package queue

// Ticket names one waiting request of a [Queue].
type Ticket uint64
