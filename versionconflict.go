package rock

import "fmt"

// VersionConflict is the cause of a [Conflict] failure: the record was changed
// after the author of the proposal had read it. It holds the current and the
// proposed record.
type VersionConflict struct {
	key      Key
	current  *Record
	proposed *Record
}

// NewVersionConflict returns the conflict of the record with that key. A nil
// current means that the record does not exist, a nil proposed that the proposal
// deletes it.
func NewVersionConflict(key Key, current, proposed *Record) *VersionConflict {
	return &VersionConflict{key: key, current: current, proposed: proposed}
}

// Key returns the record's key.
func (v *VersionConflict) Key() Key { return v.key }

// Current returns the record in force, or nil if there is none.
func (v *VersionConflict) Current() *Record { return v.current }

// Proposed returns the proposed record, or nil if the proposal deletes it.
func (v *VersionConflict) Proposed() *Record { return v.proposed }

// Error implements error.
func (v *VersionConflict) Error() string {
	switch {
	case v.current == nil:
		return fmt.Sprintf("record %v does not exist", v.key)
	case v.proposed == nil:
		return fmt.Sprintf("record %v is at version %d, which is not the version to delete", v.key, v.current.Version())
	}
	return fmt.Sprintf("record %v is at version %d, the change replaces version %d", v.key, v.current.Version(), v.proposed.Version())
}
