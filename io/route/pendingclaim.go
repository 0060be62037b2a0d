package route

// pendingClaim is a claim row that waits to be written. The result is sent to
// reply once.
type pendingClaim struct {
	key   string
	row   claimRow
	reply chan claimResult
}

// answer sends the result of the claim. The channel has room for it, so answer
// does not block.
func (c *pendingClaim) answer(row claimRow, err error) { c.reply <- claimResult{row, err} }
