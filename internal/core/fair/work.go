package fair

// Work estimates how much work a statement of each priority is for a server, from the response
// times of its answers. Without it an account with long statements would get more of the server
// than one with short ones, since each would count the same. It is immutable.
type Work struct {
	// byPriority and mean are moving averages in milliseconds, 0 before the first answer.
	byPriority [workPriorities]float64
	mean       float64
}

const (
	// workPriorities is the number of priorities with an estimate of their own; less urgent ones
	// share the last.
	workPriorities = 4
	// workWeight is the weight of the newest answer in the moving averages.
	workWeight = 0.05
	// minCost and maxCost bound the cost, since response times include a wait at the server.
	minCost = 0.25
	maxCost = 4.0
)

// WithAnswer records the response time in milliseconds of a statement of a priority.
func (w Work) WithAnswer(priority int, milliseconds float64) Work {
	i := workIndex(priority)
	w.byPriority[i] = average(w.byPriority[i], milliseconds)
	w.mean = average(w.mean, milliseconds)
	return w
}

// Cost returns the work of a statement of a priority, relative to the mean of all: 1 before there
// is an answer.
func (w Work) Cost(priority int) float64 {
	own := w.byPriority[workIndex(priority)]
	if own == 0 || w.mean == 0 {
		return 1
	}
	return min(max(own/w.mean, minCost), maxCost)
}

// workIndex returns the index of a priority in byPriority.
func workIndex(priority int) int { return min(max(priority, 0), workPriorities-1) }

// average returns the moving average old with value added, or value if there is none yet.
func average(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + workWeight*(value-old)
}
