package queue

// Ticket identifies a waiting request of a [Queue]. Tickets grow in order of
// arrival.
type Ticket uint64
