package rock

// Transaction is a set of conditions and writes for the platform's table, which
// makes all writes if all conditions hold. The zero value is empty and ready to
// use; a Transaction is not safe for concurrent use.
type Transaction struct {
	conditions []Condition
	writes     []Write
}

// Require adds the condition that the row has this version; 0 means that the row
// must not exist.
func (t *Transaction) Require(key string, version uint64) {
	t.conditions = append(t.conditions, Condition{key: key, version: version})
}

// Put adds a write of the row. The caller must not change value afterwards.
func (t *Transaction) Put(key string, value []byte) {
	t.writes = append(t.writes, Write{key: key, value: value})
}

// Delete adds the deletion of the row.
func (t *Transaction) Delete(key string) {
	t.writes = append(t.writes, Write{key: key, remove: true})
}

// Conditions returns the conditions, in the order in which they were added.
func (t *Transaction) Conditions() []Condition { return t.conditions }

// Writes returns the writes, in the order in which they were added.
func (t *Transaction) Writes() []Write { return t.writes }
