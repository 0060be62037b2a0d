package site

// upkeep maintains the hosts of a cell.
type upkeep struct{}
