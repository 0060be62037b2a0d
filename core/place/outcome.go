package place

import rock "bramleyrock"

// Refused reports whether err is the refusal of a target that accepts no work at
// the moment. Such a refusal says nothing about the request.
func Refused(err error) bool {
	if rock.VerdictOf(err) != rock.NotRun {
		return false
	}
	switch rock.ReasonOf(err) {
	case rock.Overloaded, rock.Leaving, rock.Fenced:
		return true
	}
	return false
}

// hostFailed reports whether the outcome of a task counts as a failure of its host.
// Known is false if the outcome says nothing about the host.
func hostFailed(err error) (failed, known bool) {
	switch rock.ReasonOf(err) {
	case "":
		return false, true
	case rock.WorkFailed, rock.Truncated, rock.Internal, rock.OutcomeUnknown, rock.Unavailable:
		return true, true
	case rock.DeadlineExceeded:
		return true, rock.VerdictOf(err) == rock.MayHaveRun
	}
	return false, false
}
