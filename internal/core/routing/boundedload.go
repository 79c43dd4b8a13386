package routing

// BoundedLoad deprioritises endpoints that run more of this entry's requests
// than Factor times their share by weight.
type BoundedLoad struct {
	Factor float64
}

// Deprioritise implements Deprioritiser.
func (b BoundedLoad) Deprioritise(v *EndpointView, totalWeight float64, totalRunning int) bool {
	if totalWeight <= 0 {
		return false
	}
	share := float64(totalRunning+1) * v.Weight / totalWeight
	return float64(v.Running) >= b.Factor*share+1
}
