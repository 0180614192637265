package promoter

import (
	"fmt"
	"slices"
)

// Thresholds of the judgement. The rules count a version as bad if a part of its answers fail or come several times slower;
// the bad part that has to be found in time is about 0.1. Faults hit good versions too, so findings need a minimum number
// of answers: an engine that crashes loses the requests in its slots (7 on the model engines), and a fault of the network
// spoils single answers.
const (
	// minFailures, failureRatio and failureSlack say when a version fails more than the old one.
	minFailures  = 5
	failureRatio = 2
	failureSlack = 0.03
	// minLosses, lossRatio and lossSlack do so for lost connections. Two engines may crash.
	minLosses = 16
	lossRatio = 2
	lossSlack = 0.1
	// minSlow, slowRatio and slowSlack say when more of the answers than of the old version's are slow.
	minSlow   = 8
	slowRatio = 2.5
	slowSlack = 0.05
	// minMedianAnswers is the number of answers above which medians are compared, medianBuckets the number of buckets
	// between them: more than twice as slow.
	minMedianAnswers = 20
	medianBuckets    = 3
	// slowBuckets is the distance of a slow answer from the median of the old version: at least twice as slow.
	slowBuckets = 3
	// commonShare is the largest share of the old version's answers beyond a latency that can count as slow.
	commonShare = 0.25
	// movedFactor multiplies the minimum numbers and slacks once the traffic has moved. The old version then has no
	// answers at the same time, and the load on the new one has grown.
	movedFactor = 2
)

// Finding is the result of a judgement.
type Finding struct {
	// Reason is empty if nothing was found; otherwise it states the numbers.
	Reason string
	// Answers is the number of requests of the new version that have ended, Bad how many of them were bad beyond the share of
	// the old version.
	Answers, Bad float64
}

// strictness is how much evidence a finding needs.
type strictness struct {
	factor float64
	// slow reports whether slowness counts.
	slow bool
}

// judge compares the new version with all other versions in the evidence, on each route and over all routes.
func judge(evidence Evidence, to string, s strictness) Finding {
	routes := make(map[string][2]Tally)
	var all [2]Tally
	for series, tally := range evidence {
		side := 0
		if series.Version == to {
			side = 1
		}
		pair := routes[series.Route]
		pair[side].add(&tally)
		routes[series.Route] = pair
		all[side].add(&tally)
	}
	var worst Finding
	names := make([]string, 0, len(routes))
	for name := range routes {
		names = append(names, name)
	}
	slices.Sort(names)
	bad := 0.0
	for _, name := range names {
		pair := routes[name]
		finding := compare(&pair[0], &pair[1], &all[0], s)
		bad += finding.Bad
		if finding.Reason != "" && finding.Bad >= worst.Bad {
			worst = finding
			worst.Reason = fmt.Sprintf("route %q: %s", name, finding.Reason)
		}
	}
	if overall := compareFailures(&all[0], &all[1], s); overall.Reason != "" && worst.Reason == "" {
		worst.Reason = "all routes: " + overall.Reason
	}
	if slow := compareSlow(routes, s); slow.Reason != "" && worst.Reason == "" {
		worst.Reason = "all routes: " + slow.Reason
	}
	worst.Answers, worst.Bad = all[1].total(), bad
	return worst
}

// compare judges the new version on one route. all sums up the old versions on all routes; it stands in for a route on
// which they have too few answers.
func compare(older, newer, all *Tally, s strictness) Finding {
	reference := older
	if older.total() < minMedianAnswers {
		reference = all
	}
	finding := compareFailures(reference, newer, s)
	slow := compareLatency(&older.Latency, &newer.Latency, s)
	if finding.Reason == "" {
		finding.Reason = slow.Reason
	}
	finding.Bad += slow.Bad
	return finding
}

func compareFailures(older, newer *Tally, s strictness) Finding {
	var finding Finding
	total := newer.total()
	for _, rule := range []struct {
		name    string
		outcome Outcome
		minimum float64
		ratio   float64
		slack   float64
	}{
		{"failed", OutcomeFailed, minFailures, failureRatio, failureSlack},
		{"lost", OutcomeLost, minLosses, lossRatio, lossSlack},
	} {
		share := float64(older.Outcomes[rule.outcome]) / max(1, older.total())
		count := float64(newer.Outcomes[rule.outcome])
		excess := max(0, count-total*share)
		finding.Bad += excess
		if excess >= rule.minimum*s.factor && count > total*(rule.ratio*share+rule.slack*s.factor) {
			finding.Reason = fmt.Sprintf("%s %.0f of %.0f, old versions %d of %.0f", rule.name, count, total,
				older.Outcomes[rule.outcome], older.total())
		}
	}
	return finding
}

func compareLatency(older, newer *Histogram, s strictness) Finding {
	before, after := older.total(), newer.total()
	if !s.slow || before < minMedianAnswers || after < minSlow {
		return Finding{}
	}
	var finding Finding
	median := older.median()
	if newMedian := newer.median(); after >= minMedianAnswers && newMedian >= median+medianBuckets {
		finding.Reason = fmt.Sprintf("median of %.0f answers %.0f ms, old versions %.0f ms", after, bucketEnd(newMedian),
			bucketEnd(median))
	}
	for bucket := median + slowBuckets - 1; bucket < BucketCount-1; bucket++ {
		share, count := older.beyond(bucket)/before, newer.beyond(bucket)
		if share > commonShare {
			continue
		}
		excess := count - after*slowRatio*share
		finding.Bad = max(finding.Bad, excess)
		if excess >= minSlow*s.factor && count > after*(slowRatio*share+slowSlack*s.factor) && finding.Reason == "" {
			finding.Reason = fmt.Sprintf("%.0f of %.0f answers beyond %.0f ms, old versions %.0f of %.0f", count, after,
				bucketEnd(bucket), older.beyond(bucket), before)
		}
	}
	return finding
}

// compareSlow counts the slow answers of all routes together, each relative to the old version's median on its route. A trial
// gives a single route too few answers if there are many routes.
func compareSlow(routes map[string][2]Tally, s strictness) Finding {
	if !s.slow {
		return Finding{}
	}
	var answers, count, common float64
	for _, pair := range routes {
		older, newer := &pair[0].Latency, &pair[1].Latency
		before := older.total()
		if before < minMedianAnswers {
			continue
		}
		bucket := older.median() + slowBuckets - 1
		// The distance from the median grows until few of the old version's answers are beyond it.
		for older.beyond(bucket) > commonShare*before {
			bucket++
		}
		answers += newer.total()
		count += newer.beyond(bucket)
		common += newer.total() * older.beyond(bucket) / before
	}
	if excess := count - slowRatio*common; excess < minSlow*s.factor || count <= slowRatio*common+answers*slowSlack*s.factor {
		return Finding{}
	}
	return Finding{Reason: fmt.Sprintf("%.0f of %.0f answers more than twice as slow as the old versions' median, %.1f expected",
		count, answers, common)}
}
