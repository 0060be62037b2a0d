package route

// rowClaim is a claim row to be written.
type rowClaim struct {
	key   string
	row   rowForm
	reply chan rowReply
}

// answer replies to the claim.
func (c *rowClaim) answer(row rowForm, err error) { c.reply <- rowReply{row, err} }
