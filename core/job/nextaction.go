package job

import (
	"slices"
	"time"

	rock "bramleyrock"
)

// NextAction returns what to do at now about a running job whose task was
// observed as in o.
func (l Limits) NextAction(now time.Time, j Job, o Observation) Action {
	l = l.WithDefaults()
	switch o.Status.State() {
	case rock.TaskDone:
		return Complete
	case rock.TaskFailed:
		return Fail
	case rock.TaskCancelled, rock.TaskUnknown:
		if o.CancelRequested {
			return Cancel
		}
		return HandleLoss
	}
	switch {
	case o.CancelRequested:
		return Cancel
	case now.Sub(o.LastAnswerAt) > l.TaskLease:
		return HandleLoss
	case j.MaxRun() > 0 && now.Sub(j.StartedAt()) > j.MaxRun():
		return Expire
	case o.Status.State() != rock.TaskRunning:
		return Continue
	case o.HostClosed && j.Idempotent():
		return Migrate
	case j.Idempotent() && now.Sub(o.LastCheckpointAt) > l.CheckpointInterval:
		return Checkpoint
	}
	return Continue
}

// PreemptionVictim returns the running job to preempt for the urgent one, if it
// has waited long enough. The victim is a normal, idempotent job of the same
// pool, on a host where the urgent job did not fail before. Of several, the one
// claimed last is chosen, since it has the least progress to lose.
func (l Limits) PreemptionVictim(now time.Time, urgent Job, running []Job) (Job, bool) {
	l = l.WithDefaults()
	if urgent.Class() != rock.Urgent || now.Sub(urgent.StateSince()) < l.PreemptAfter {
		return Job{}, false
	}
	var victims []Job
	for _, j := range running {
		eligible := j.State() == Running && j.Class() == rock.Normal && j.Idempotent() && j.Pool() == urgent.Pool()
		if eligible && !slices.Contains(urgent.FailedHosts(), j.Host()) {
			victims = append(victims, j)
		}
	}
	if len(victims) == 0 {
		return Job{}, false
	}
	return slices.MaxFunc(victims, func(a, b Job) int { return a.StartedAt().Compare(b.StartedAt()) }), true
}
