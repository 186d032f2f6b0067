package awduty

import "time"

// isCurrent reports whether the row need not be read again.
func (c *Candidate) isCurrent(need Need) bool {
	if !c.rowKnown || c.rowEra < c.era || (need.Suspect && c.readSince < need.SuspectSince) {
		return false
	}
	return c.known == c.outdated || !c.known.newerThan(c.rowClaim())
}

// rowClaim returns the claim that corresponds to the known row.
func (c *Candidate) rowClaim() Claim {
	released := c.known.Released && c.known.Position == c.position && c.known.Token == c.row.Token && c.position.Era == c.rowEra
	return Claim{
		Holder: c.row.Holder, Incarnation: c.row.Incarnation, Token: c.row.Token, Position: c.position, Through: c.row.Through, Released: released,
	}
}

// challengeAt returns the time from which the holder of the newest state known
// cannot be sure of its lease.
func (c *Candidate) challengeAt() time.Duration {
	switch {
	case c.position.IsZero() && c.known.Token == 0:
		return 0
	case !c.rowClaim().Released:
	case c.lastCall == 0:
		return 0
	default: // calls of this holder, the one that released the row, and this one again
		return c.lastCall + c.cfg.Lease
	}
	since := c.rowSince
	// After the store was set back, the holder may act on a later version.
	if c.known.Token > 0 && !c.known.Released {
		since = max(since, c.knownSince)
	}
	return since + c.cfg.Lease + c.cfg.Margin
}

// replaceRow records a row that was read and what it says of its holder.
func (c *Candidate) replaceRow(now time.Duration, row Row, at Stored) {
	// A store that was set back may give the same version to another row. Its holder
	// may have written until then, however old the row is.
	sameRow := c.rowKnown && c.rowEra == at.Era && c.position == at.Position && c.row.Token == row.Token && c.row.Holder == row.Holder && c.row.Incarnation == row.Incarnation
	inEra := at.Position.Era == at.Era
	c.row, c.position, c.rowKnown, c.rowEra, c.era = row, at.Position, true, at.Era, max(c.era, at.Era)
	switch claim := c.rowClaim(); {
	case sameRow:
	case inEra && claim.Token == c.known.Token && claim.Position == c.known.Position && claim.sameHolder(c.known):
		c.rowSince = c.knownSince
	default:
		c.rowSince = now
		c.Hear(now, claim)
	}
}

// isSuperseded reports whether the known row is older than what was heard of, or
// another holder has its token, which happens if the store was set back.
func (c *Candidate) isSuperseded() bool {
	row := c.rowClaim()
	return c.known.newerThan(row) || (c.known.Token == row.Token && !c.known.sameHolder(row)) || (row.Token > 0 && row.Token <= c.sharedToken)
}

// isNewestOwn reports whether a row is from the last write of this instance that is
// known to be performed or a later one, and no higher token is known.
func (c *Candidate) isNewestOwn(row Row) bool {
	if row.Holder != c.cfg.Self || row.Incarnation != c.cfg.Incarnation || row.Token < c.known.Token {
		return false
	}
	if row.Token <= c.sharedToken || (row.Token == c.known.Token && !c.known.sameHolder(c.rowClaim())) {
		return false
	}
	_, sent := c.sent[row.Write]
	return sent && row.Write >= c.lastWrite
}
