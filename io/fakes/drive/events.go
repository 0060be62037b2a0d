package drive

type events []event

func (s events) Len() int { return len(s) }
func (s events) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s events) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *events) Push(x any)   { *s = append(*s, x.(event)) }
func (s *events) Pop() any {
	e := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return e
}
