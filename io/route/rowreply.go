package route

// rowReply is what became of a claim: the row in the table, which may be
// another send's, or an error.
type rowReply struct {
	row rowForm
	err error
}
