package books

import (
	"encoding/json"
	"fmt"

	rock "bramleyrock"
)

// headKey is the key of the row that holds the newest revision. Every change
// writes it on the condition that its version is unchanged, which puts all changes
// in one order.
const headKey = "head"

// changePrefix is the prefix of the keys of the feed's rows.
const changePrefix = "change/"

func recordKey(k rock.Key) string         { return "record/" + k.String() }
func changeKey(r rock.Revision) string    { return fmt.Sprintf("%s%020d", changePrefix, r) }
func changeIDKey(id string) string        { return "change_id/" + id }
func snapshotName(r rock.Revision) string { return fmt.Sprintf("snapshot/%020d", r) }

// revisionRow is the value of the row head, the row snapshot and the rows of
// change ids.
type revisionRow struct {
	Revision rock.Revision `json:"revision"`
}

// readRevision decodes a [revisionRow]. It returns 0 if the row does not exist.
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

// readChange decodes a row of the feed.
func readChange(r rock.Row) (rock.Change, error) {
	var c rock.Change
	if err := json.Unmarshal(r.Value(), &c); err != nil {
		return rock.Change{}, undecodableRow(r.Key(), err)
	}
	return c, nil
}

// undecodableRow returns the failure for a row that cannot be decoded.
func undecodableRow(key string, err error) error {
	return rock.Fail("read", "row "+key, rock.Internal, rock.NotRun).Because(err)
}

// mustEncode returns v as JSON. It panics if v cannot be encoded.
func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}
