package books

import (
	"net/netip"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// checkAddresses returns a [rock.BadInput] failure if an edit gives a host an
// address that is not valid.
func checkAddresses(edits []rock.Edit) error {
	for _, e := range edits {
		if e.Key().Kind() != rock.KindHost || e.To() == nil {
			continue
		}
		h, err := record.As[record.Host](*e.To())
		if err != nil {
			return err
		}
		if !validAddress(h.Spec().Address) {
			return rock.Fail("check", e.Key().String(), rock.BadInput, rock.NotRun).
				Becausef("field address: got %q: want an IP address and port such as 10.0.0.7:9000", h.Spec().Address)
		}
	}
	return nil
}

// validAddress reports whether s is a unicast IP address and port in canonical
// form, which makes equal addresses equal strings.
func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a.String() == s
}
