package policy

const (
	copyAfter    = 3.0  // expected times after which a second copy is sent
	copyEarliest = 0.15 // part of the aim; no copy before
	copyLatest   = 0.5  // part of the aim; no later if at all
	copyBusy     = 0.5  // load that servers tell, from which copies only lengthen queues
)
