package trial

import (
	rock "bramleyrock"
	"bramleyrock/core/record"
)

// records returns the records of the deployment.
func (t *site) records() ([]rock.Record, error) {
	var all []rock.Record
	add := func(kind rock.Kind, name string, body record.Body) error {
		r, err := record.Encode(rock.NewKey(kind, name), 0, body)
		all = append(all, r)
		return err
	}
	for _, p := range t.shape.pools {
		organisation := record.NewOrganisation(0, record.NewToken("caller", record.Digest(callerToken(p)), rock.CallerRole))
		if err := add(rock.KindOrganisation, p, organisation); err != nil {
			return nil, err
		}
		if err := add(rock.KindPool, p, record.NewPool(p, p == operatorPool)); err != nil {
			return nil, err
		}
		budget := record.NewBudget(record.BudgetSpec{Pool: p, MinAvailable: record.CountLimit(t.shape.budget())})
		if err := add(rock.KindBudget, p, budget); err != nil {
			return nil, err
		}
	}
	for _, h := range t.fleet {
		body := record.NewHost(record.HostSpec{
			Address:    h.address,
			Zone:       h.zone,
			Rack:       h.rack,
			Pool:       h.pool,
			Generation: 1,
			Slots:      t.shape.slots,
			Open:       true,
		})
		if err := add(rock.KindHost, h.name, body); err != nil {
			return nil, err
		}
	}
	return all, nil
}
