package front

import rock "bramleyrock"

// checkPool refuses a pool that does not serve the caller's organisation. The
// error is the same as for a pool that does not exist, so that callers cannot
// probe for pools of other organisations.
func checkPool(fleet rock.Fleet, id rock.Identity, name string) error {
	refusal := rock.Fail("find", "pool", rock.NotFound, rock.NotRun)
	if err := rock.CheckName(name); err != nil {
		return refusal.Because(err)
	}
	pool, ok := fleet.Pool(name)
	if !ok || !pool.Serves(id.Organisation()) {
		return refusal.Becausef("no pool %s serves organisation %s", name, id.Organisation())
	}
	return nil
}
