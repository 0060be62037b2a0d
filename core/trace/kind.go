package trace

// Kind is the kind of an event.
type Kind string

// The kinds of events of requests and jobs.
const (
	// Arrived: an entry read a caller's request, which is of class normal and
	// not idempotent unless the event says so.
	Arrived Kind = "arrived"
	// Admitted: an entry put the request in a queue.
	Admitted Kind = "admitted"
	// Forwarded: an entry forwarded the request to the entry named in peer.
	Forwarded Kind = "forwarded"
	// Sent: an entry began to send a task for the request to a host.
	Sent Kind = "sent"
	// Started: a target started the task. The event is recorded at the target.
	Started Kind = "started"
	// Checkpointed: a target saved the task's state.
	Checkpointed Kind = "checkpointed"
	// Ended: the task ended on the target, in the given state. The event is
	// recorded at the target.
	Ended Kind = "ended"
	// Answered: an entry gave the caller a complete answer with the given digest.
	Answered Kind = "answered"
	// Refused: an entry gave the caller an error with the given verdict.
	Refused Kind = "refused"
	// Cancelled: the caller cancelled the request.
	Cancelled Kind = "cancelled"
	// Cut: the caller's connection broke before an answer or a refusal.
	Cut Kind = "cut"
)

// The kinds of events of entries and of the configuration.
const (
	// EntryStarted: an entry began to serve.
	EntryStarted Kind = "entry_started"
	// EntryLeaving: an entry was asked to stop.
	EntryLeaving Kind = "entry_leaving"
	// EntryStopped: an entry completed a planned stop.
	EntryStopped Kind = "entry_stopped"
	// EntryLost: an entry was killed or frozen.
	EntryLost Kind = "entry_lost"
	// EntryCut: an entry can reach neither the platform nor a peer that can.
	EntryCut Kind = "entry_cut"
	// EntryHealed: an entry that was cut off can reach the platform, or a peer that
	// can, again.
	EntryHealed Kind = "entry_healed"
	// ChangeAccepted: the change that made the revision was committed.
	ChangeAccepted Kind = "change_accepted"
	// ChangeInForce: the revision is in force at the entry.
	ChangeInForce Kind = "change_in_force"
)

// The kinds of events of hosts, pools and duties.
const (
	// HostAdded: the host is in the pool and open.
	HostAdded Kind = "host_added"
	// HostClosed: the host is given no new work, because of a committed change or,
	// if the state is [StateListed], because of the platform's list.
	HostClosed Kind = "host_closed"
	// HostOpened: the host may be given new work again.
	HostOpened Kind = "host_opened"
	// HostLost: the host failed, and all tasks on it ended.
	HostLost Kind = "host_lost"
	// HostBack: the host is back after a failure.
	HostBack Kind = "host_back"
	// HostRebooted: the host rebooted, and all tasks on it ended.
	HostRebooted Kind = "host_rebooted"
	// BudgetSet: the pool's budget requires min_available available hosts.
	BudgetSet Kind = "budget_set"
	// MoveState: the move of the host is in the given state.
	MoveState Kind = "move_state"
	// WaveState: the wave is in the given state.
	WaveState Kind = "wave_state"
	// LeaseTaken: the holder acquired the duty's lease at the epoch.
	LeaseTaken Kind = "lease_taken"
	// LeaseReleased: the holder released the duty's lease.
	LeaseReleased Kind = "lease_released"
	// DutyActed: a write made under the duty at the epoch took effect.
	DutyActed Kind = "duty_acted"
)

// The kinds of events of an experiment.
const (
	// SurgeStarted: the load of the pool rose above its capacity.
	SurgeStarted Kind = "surge_started"
	// SurgeEnded: the load of the pool fell below its capacity again.
	SurgeEnded Kind = "surge_ended"
	// Baseline: the values of the pool without the surge. For the surging pool,
	// rate is the number of answers per second that its slots allow; for any other
	// pool, delay_ms is the 99th percentile of its queueing delay.
	Baseline Kind = "baseline"
	// Fault: the fault that the note describes was injected.
	Fault Kind = "fault"
)
