package auth

import (
	"net/http"
	"strings"
	"time"

	rock "bramleyrock"
)

// retryConfiguration is the wait that is suggested while no configuration is
// known.
const retryConfiguration = time.Second

// Caller returns the configuration in force and the caller whose bearer token
// the request carries. A refusal has verdict [rock.NotRun].
func Caller(source rock.FleetSource, r *http.Request) (rock.Fleet, rock.Identity, error) {
	fleet, ok := source.Fleet()
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
