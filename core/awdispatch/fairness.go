package awdispatch

// fairClass holds what orders requests of a service before the fairness among teams.
// Each class has tags of its own: with common ones, the requests of an urgent rank
// would move the virtual time past the tags that wait in the others.
type fairClass struct {
	priority, rank int
	late           bool
}

func (r *Request) fairClass() fairClass { return fairClass{r.Priority, r.Rank, r.Late} }

// fairness returns the fairness among the teams with requests of the class of r.
func (c *contention) fairness(r *Request) *fairness {
	class := r.fairClass()
	f := c.teams[class]
	if f == nil {
		f = &fairness{}
		c.teams[class] = f
	}
	return f
}

// fairness is start-time fair queueing among the teams of a class, at equal weights.
// A team whose requests were assigned is behind by as many of them, until the others
// have caught up. Only assignments count, so a team neither loses its share by requests
// that are refused nor saves it up while it sends none.
type fairness struct {
	virtualTime int64            // start tag of the latest assignment
	finished    map[string]int64 // by team: finish tag of its last assignment, if above virtualTime
}

// maxFairTeams bounds the teams that are remembered. Teams that are behind are few: as
// many as are served at one moment.
const maxFairTeams = 1024

// startTag returns the start tag of a new request of a team of which some wait already.
func (f *fairness) startTag(team string, waiting int) int64 {
	return max(f.virtualTime, f.finished[team]) + int64(waiting)
}

// assigned records the assignment of a team's request with the given start tag.
func (f *fairness) assigned(team string, startTag int64) {
	if f.finished == nil {
		f.finished = map[string]int64{}
	}
	f.finished[team] = max(f.virtualTime, f.finished[team]) + 1
	f.virtualTime = max(f.virtualTime, startTag)
	if len(f.finished) <= maxFairTeams {
		return
	}
	for name, finish := range f.finished {
		if finish <= f.virtualTime {
			delete(f.finished, name)
		}
	}
	if len(f.finished) > maxFairTeams {
		clear(f.finished)
	}
}
