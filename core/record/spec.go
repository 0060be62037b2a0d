package record

import rock "bramleyrock"

// HostSpecOf returns the fields of the host in the record.
func HostSpecOf(r rock.Record) (HostSpec, error) {
	h, err := As[Host](r)
	return h.Spec(), err
}

// MoveSpecOf returns the fields of the move in the record.
func MoveSpecOf(r rock.Record) (MoveSpec, error) {
	m, err := As[Move](r)
	return m.Spec(), err
}

// WaveSpecOf returns the fields of the wave in the record.
func WaveSpecOf(r rock.Record) (WaveSpec, error) {
	w, err := As[Wave](r)
	return w.Spec(), err
}

// Rewrite returns the record with the fields in spec; its unknown fields are kept.
// It returns a [rock.Internal] failure if spec is not of the record's kind.
func Rewrite[S HostSpec | MoveSpec | WaveSpec](r rock.Record, spec S) (rock.Record, error) {
	body, err := Decode(r)
	if err != nil {
		return rock.Record{}, err
	}
	switch s := any(spec).(type) {
	case HostSpec:
		h, ok := body.(Host)
		body, err = h.With(func(old *HostSpec) { *old = s }), checkSpecKind(r, ok)
	case MoveSpec:
		m, ok := body.(Move)
		body, err = m.With(func(old *MoveSpec) { *old = s }), checkSpecKind(r, ok)
	case WaveSpec:
		w, ok := body.(Wave)
		body, err = w.With(func(old *WaveSpec) { *old = s }), checkSpecKind(r, ok)
	}
	if err != nil {
		return rock.Record{}, err
	}
	return Encode(r.Key(), r.Version(), body)
}

// checkSpecKind returns the failure of [Rewrite] with a spec of another kind than
// the record's, or nil if ok is true.
func checkSpecKind(r rock.Record, ok bool) error {
	if ok {
		return nil
	}
	return rock.Fail("rewrite", r.Key().String(), rock.Internal, rock.NotRun).Becausef("the spec is of another kind than the record")
}
