package policy

// scheduledEvent is an event for a gateway of a simulated fleet.
type scheduledEvent struct {
	at      float64
	gateway int // index in the fleet
	event   Event
}

// scheduledEvents is a heap (container/heap) whose root is the earliest event.
type scheduledEvents []scheduledEvent

func (s scheduledEvents) Len() int { return len(s) }

func (s scheduledEvents) Less(i, j int) bool { return s[i].at < s[j].at }

func (s scheduledEvents) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

func (s *scheduledEvents) Push(x any) { *s = append(*s, x.(scheduledEvent)) }

func (s *scheduledEvents) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
