package route

// claimResult is the result of a claim: an error, or the row in the table, which
// may be that of another request with the same key.
type claimResult struct {
	row claimRow
	err error
}
