package route

// rowClaim is a claim row to be written.
type rowClaim struct {
	key   string
	row   rowForm
	reply chan rowReply
}

// rowReply is what became of a claim: the row in the table, which may be
// another send's, or an error.
type rowReply struct {
	row rowForm
	err error
}

// answer replies to the claim.
func (c *rowClaim) answer(row rowForm, err error) { c.reply <- rowReply{row, err} }
