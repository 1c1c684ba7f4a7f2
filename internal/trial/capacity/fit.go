package capacity

// Line is a straight line fitted to measured points by least squares.
type Line struct {
	Intercept float64 `json:"base"`
	Slope     float64 `json:"slope"`
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// FitLine returns the least-squares line of the points (x[i], y[i]). One point, or
// several at the same x, give a horizontal line at the mean of y; no points give the zero
// Line.
func FitLine(x, y []float64) Line {
	if len(x) == 0 {
		return Line{}
	}
	var meanX, meanY float64
	for i := range x {
		meanX += x[i] / float64(len(x))
		meanY += y[i] / float64(len(x))
	}
	var covariance, variance float64
	for i := range x {
		covariance += (x[i] - meanX) * (y[i] - meanY)
		variance += (x[i] - meanX) * (x[i] - meanX)
	}
	if variance == 0 {
		return Line{Intercept: meanY}
	}
	slope := covariance / variance
	return Line{Intercept: meanY - slope*meanX, Slope: slope}
}
