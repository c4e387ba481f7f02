package scheduler

import (
	"math"
	"time"
)

// estimator predicts the run time of a service's tasks on an upstream of
// average speed from the declared run time. It is an exponentially weighted linear
// regression of the logarithm of the observed run time on that of the declared one, which
// corrects a constant factor and ignores declarations that carry no information.
type estimator struct {
	weight, sumX, sumY, sumXX, sumXY float64
}

const (
	estimatorDecay   = 0.998
	slopePriorWeight = 5
	maxSlope         = 1.5
	defaultRunTime   = 250 * time.Millisecond
	shortestRunTime  = 100 * time.Microsecond
)

func (e *estimator) observe(declared, normalised time.Duration) {
	x, y := logSeconds(declared), logSeconds(normalised)
	e.weight = e.weight*estimatorDecay + 1
	e.sumX = e.sumX*estimatorDecay + x
	e.sumY = e.sumY*estimatorDecay + y
	e.sumXX = e.sumXX*estimatorDecay + x*x
	e.sumXY = e.sumXY*estimatorDecay + x*y
}

func (e *estimator) predict(declared time.Duration) time.Duration {
	if e.weight < 1 {
		if declared > 0 {
			return declared
		}
		return defaultRunTime
	}
	meanX, meanY := e.sumX/e.weight, e.sumY/e.weight
	return time.Duration(math.Exp(meanY+e.slope()*(logSeconds(declared)-meanX)) * float64(time.Second))
}

// slope returns the slope of the regression: one for accurate declarations, zero for those
// without information. The prior pulls it towards one until there are a few observations.
func (e *estimator) slope() float64 {
	if e.weight < 1 {
		return 1
	}
	meanX, meanY := e.sumX/e.weight, e.sumY/e.weight
	variance := e.sumXX/e.weight - meanX*meanX
	covariance := e.sumXY/e.weight - meanX*meanY
	slope := (covariance*e.weight + slopePriorWeight) / (variance*e.weight + slopePriorWeight)
	return min(maxSlope, max(0, slope))
}

func logSeconds(d time.Duration) float64 {
	if d <= 0 {
		d = defaultRunTime
	}
	return math.Log(max(d, shortestRunTime).Seconds())
}
