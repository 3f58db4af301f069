package mirror

import "time"

// restartGrace begins the grace period of all missing items again. Their owners could not
// write them while the service was unavailable.
func (c *connection) restartGrace() {
	until := time.Now().Add(missingItemGrace)
	for key := range c.missing {
		c.missing[key] = until
	}
}

// keep keeps items that the service lacks for a grace period from now on.
func (c *connection) keep(now time.Time, keys []string) {
	for _, key := range keys {
		if _, ok := c.items[key]; ok {
			c.missing[key] = now.Add(missingItemGrace)
		}
	}
	if len(keys) > 0 {
		c.log.Info().Int("missing", len(keys)).Msg("items are missing after an outage; keeping them for a grace period")
		c.scheduleConfirm(now)
	}
}

// scheduleConfirm sets the timer to the end of the earliest grace period.
func (c *connection) scheduleConfirm(now time.Time) {
	if len(c.missing) == 0 {
		return
	}
	earliest := now.Add(missingItemGrace)
	for _, until := range c.missing {
		if until.Before(earliest) {
			earliest = until
		}
	}
	c.confirm.Reset(max(earliest.Sub(now), 0))
}

// confirmMissing reads the items whose grace period has ended once more, in the
// background. Meanwhile everything else is applied as usual.
func (c *connection) confirmMissing() {
	now := time.Now()
	if c.reading != nil {
		c.confirm.Reset(confirmRetry)
		return
	}
	r := newReading()
	for key, until := range c.missing {
		if now.Before(until) {
			continue
		}
		if r.first == "" || key < r.first {
			r.first = key
		}
		r.last = max(r.last, key)
	}
	if r.first == "" {
		c.scheduleConfirm(now)
		return
	}
	r.began, r.since = now, c.current
	c.reading = r
	// The page after a key does not contain the key itself.
	go c.readPages(c.ctx, r, r.first[:len(r.first)-1])
}

// endConfirm removes the missing items that the list r lacks as well.
func (c *connection) endConfirm(r *reading) {
	var gone []string
	for key, until := range c.missing {
		if !r.began.Before(until) {
			gone = append(gone, key)
		}
	}
	c.remove(gone)
	c.scheduleConfirm(time.Now())
}
