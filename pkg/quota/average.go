package quota

import (
	"math"
	"time"
)

// average is an exponentially decaying average of a rate.
type average struct {
	sum       float64
	updatedAt time.Time
}

// add counts an amount.
func (a *average) add(now time.Time, amount float64) {
	a.sum = a.decayed(now) + amount
	a.updatedAt = now
}

// perSecond returns the average rate.
func (a *average) perSecond(now time.Time) float64 { return a.decayed(now) / useMemory.Seconds() }

func (a *average) decayed(now time.Time) float64 {
	return a.sum * math.Exp(-max(now.Sub(a.updatedAt), 0).Seconds()/useMemory.Seconds())
}
