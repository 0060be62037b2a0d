package auth

import (
	"net/http"
	"strings"
	"time"

	rock "bramleyrock"
)

// configurationRetryDelay is the retry delay that is returned to callers while no
// configuration is known.
const configurationRetryDelay = time.Second

// Caller authenticates the request by its bearer token and returns the
// configuration in force and the caller's identity, which belongs to an
// organisation. Every error is a [rock.Failure] with verdict [rock.NotRun]:
// Unavailable while no configuration is known, Unauthenticated without a valid
// token, and Forbidden for a role other than caller.
func Caller(source rock.FleetSource, r *http.Request) (rock.Fleet, rock.Identity, error) {
	fleet, ok := source.Fleet()
	if !ok {
		return nil, rock.Identity{}, rock.Fail("authenticate", "caller", rock.Unavailable, rock.NotRun).RetryIn(configurationRetryDelay).Becausef("no configuration is known yet")
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
