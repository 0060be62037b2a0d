package front

import (
	"net/http"
	"strings"

	rock "bramleyrock"
)

// caller returns the configuration in force and who calls.
func (d *door) caller(r *http.Request) (rock.Fleet, rock.Identity, error) {
	fleet, ok := d.settings.Fleet.Fleet()
	if !ok {
		return nil, rock.Identity{}, rock.Fail("authenticate", "caller", rock.Unavailable, rock.NotRun).RetryIn(retryConfiguration).Becausef("no configuration is known yet")
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return nil, rock.Identity{}, rock.Fail("authenticate", "caller", rock.Unauthenticated, rock.NotRun).Becausef("header Authorization: want \"Bearer TOKEN\"")
	}
	id, err := fleet.Authenticate(token)
	if err != nil {
		return nil, rock.Identity{}, rock.Fail("authenticate", "caller", rock.Unauthenticated, rock.NotRun).Because(err)
	}
	if id.Role() != rock.CallerRole || id.Organisation() == "" {
		return nil, rock.Identity{}, rock.Fail("authorise", "caller", rock.Forbidden, rock.NotRun).Becausef("role %s: want %s of an organisation", id.Role(), rock.CallerRole)
	}
	return fleet, id, nil
}

// checkPool refuses a pool that does not serve the caller in the same words
// as one that does not exist.
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
