//go:build ruleguard

package rules

import "github.com/quasilyte/go-ruleguard/dsl"

// bareGo reports goroutines that are started outside a group.
func bareGo(m dsl.Matcher) {
	m.Match("go $f($*_)").
		Report("start goroutines through a group, not by a bare go statement")
}
