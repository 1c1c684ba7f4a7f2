package capacity

// Line is the straight line through measured points by least squares.
type Line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Fit returns the line through the points. One point, or several at the same x,
// give a level line.
func Fit(x, y []float64) Line {
	if len(x) == 0 {
		return Line{}
	}
	var meanX, meanY float64
	for i := range x {
		meanX += x[i] / float64(len(x))
		meanY += y[i] / float64(len(x))
	}
	var both, square float64
	for i := range x {
		both += (x[i] - meanX) * (y[i] - meanY)
		square += (x[i] - meanX) * (x[i] - meanX)
	}
	if square == 0 {
		return Line{Base: meanY}
	}
	slope := both / square
	return Line{Base: meanY - slope*meanX, Slope: slope}
}
