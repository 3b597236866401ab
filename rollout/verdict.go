package rollout

// Verdict is the verdict of an order, as instances send it to each other. The store may have lost it.
type Verdict struct {
	Order ID    `msgpack:"o"`
	State State `msgpack:"s"`
}

// KnownVerdict returns the verdict of the order that the store has held, as far as this instance knows. It
// returns false if there is none.
func (f *Follower) KnownVerdict() (Verdict, bool) {
	state := f.Verdict()
	return Verdict{Order: f.order.ID(), State: state}, state.IsFinal()
}

// HandleVerdict adopts a verdict that another instance knows, unless it belongs to another order or this
// instance knows one already. It reports whether the verdict is new.
func (f *Follower) HandleVerdict(v Verdict) bool {
	if v.Order != f.order.ID() || f.Verdict().IsFinal() || !v.State.IsFinal() {
		return false
	}
	f.verdict = v.State
	return true
}
