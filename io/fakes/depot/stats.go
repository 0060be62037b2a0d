package depot

// Stats counts what a [Depot] was asked, as rows or objects.
type Stats struct {
	// Reads counts reads as they count against the rate.
	Reads uint64 `json:"reads"`
	// Writes counts writes as they count against the rate.
	Writes uint64 `json:"writes"`
	// Commits counts transactions that took effect.
	Commits uint64 `json:"commits"`
	// Conflicts counts transactions with a condition that did not hold.
	Conflicts uint64 `json:"conflicts"`
	// Lists counts readings of the host list.
	Lists uint64 `json:"lists"`
	// Throttled counts calls refused for exceeding a rate.
	Throttled uint64 `json:"throttled"`
	// LostAnswers counts commits that took effect without an answer.
	LostAnswers uint64 `json:"lost_answers"`
}
