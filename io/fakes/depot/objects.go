package depot

import (
	"bytes"
	"context"

	rock "bramleyrock"
)

// Get implements [rock.ObjectStore].
func (d *Depot) Get(ctx context.Context, name string) ([]byte, error) {
	if err := d.enter(ctx, "get object", name); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.charge(d.reads, &d.stats.Reads, 1, "get object", name); err != nil {
		return nil, err
	}
	data, ok := d.objects[name]
	if !ok {
		return nil, rock.Fail("get object", name, rock.NotFound, rock.NotRun)
	}
	return bytes.Clone(data), nil
}

// Put implements [rock.ObjectStore].
func (d *Depot) Put(ctx context.Context, name string, data []byte) error {
	return d.changeObject(ctx, "put object", name, func() { d.objects[name] = bytes.Clone(data) })
}

// Remove implements [rock.ObjectStore].
func (d *Depot) Remove(ctx context.Context, name string) error {
	return d.changeObject(ctx, "remove object", name, func() { delete(d.objects, name) })
}

func (d *Depot) changeObject(ctx context.Context, op, name string, change func()) error {
	if err := d.enter(ctx, op, name); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.charge(d.writes, &d.stats.Writes, 1, op, name); err != nil {
		return err
	}
	change()
	return nil
}
