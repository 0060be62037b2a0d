package books

import (
	"encoding/json"
	"fmt"

	rock "bramleyrock"
)

// headKey is the row whose version puts all changes in one order.
const headKey = "head"

// changePrefix begins the keys of the feed.
const changePrefix = "change/"

func recordKey(k rock.Key) string         { return "record/" + k.String() }
func changeKey(r rock.Revision) string    { return fmt.Sprintf("%s%020d", changePrefix, r) }
func changeIDKey(id string) string        { return "change_id/" + id }
func snapshotName(r rock.Revision) string { return fmt.Sprintf("snapshot/%020d", r) }

// revisionRow is the value of the rows head, change_id and snapshot.
type revisionRow struct {
	Revision rock.Revision `json:"revision"`
}

// readRevision decodes such a row; a missing one is revision 0.
func readRevision(r rock.Row) (rock.Revision, error) {
	if !r.Exists() {
		return 0, nil
	}
	var v revisionRow
	if err := json.Unmarshal(r.Value(), &v); err != nil {
		return 0, undecodableRow(r.Key(), err)
	}
	return v.Revision, nil
}

func readChange(r rock.Row) (rock.Change, error) {
	var c rock.Change
	if err := json.Unmarshal(r.Value(), &c); err != nil {
		return rock.Change{}, undecodableRow(r.Key(), err)
	}
	return c, nil
}

// undecodableRow returns the failure of a row that cannot be read.
func undecodableRow(key string, err error) error {
	return rock.Fail("read", "row "+key, rock.Internal, rock.NotRun).Because(err)
}

// mustEncode returns the JSON form of a value whose type always has one.
func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}
