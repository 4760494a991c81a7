package bulrushquarantine

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

const (
	// suspectRetention is the time for which a crash counts against contents of
	// which no trial crashed a server, and crashRetention that for all others.
	suspectRetention = bulrushchute.Hour
	crashRetention   = 24 * bulrushchute.Hour
	// causeTrials is the number of trials that have to end with their servers before
	// a content counts as the cause: another event may have met the first one by
	// chance.
	causeTrials = 2
	// coincidenceWindow is the time around the crash of a trial within which an end of
	// another server of the service, for another reason, makes a coincidence likely.
	// The content then counts as the cause after coincidentCrashes crashes only.
	coincidenceWindow = 30 * bulrushchute.Second
	coincidentCrashes = 4
	// retrialDelay is the time from the last crash to the next trial. It doubles with
	// each crash in excess of certainCrashes.
	retrialDelay   = 10 * bulrushchute.Minute
	certainCrashes = 3
	// maxRetrials is the number of servers that are risked after certainCrashes.
	maxRetrials = 3
	// maxClockSkew limits how far in the future a crash may be.
	maxClockSkew = bulrushchute.Minute
	// markDuration is the time for which a node regards a content as suspect because
	// of a reply. The reports of the crash arrive meanwhile.
	markDuration = 2 * bulrushchute.Second
	// maxMarks bounds the marks that a node keeps.
	maxMarks = 4096
	// maxOtherEntries bounds the index entries of the reports of other services. Full
	// reports of 700 nodes fit.
	maxOtherEntries = 100_000
)

// Verdict tells what may be done with a request.
type Verdict uint8

// Verdicts on a request.
const (
	// Free means that there is nothing against the request.
	Free Verdict = iota
	// Suspect means that the request may run as a trial only, at the server that
	// Place returns.
	Suspect
	// Quarantined means that the request must not run now.
	Quarantined
)

var verdictNames = [...]string{"free", "suspect", "quarantined"}

// String returns the verdict's name as used in logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "invalid"
}

// Assessment is what a Ledger knows of a content.
type Assessment struct {
	Verdict Verdict
	// Until is the time at which the next trial may take place. It is set for
	// Quarantined only.
	Until bulrushchute.Millis
	// Crashes is the number of servers that ended while they ran the content, since
	// it last ran to its end.
	Crashes int
	// Trials is the number of them that ended a trial.
	Trials int
	// LastCrashAt is the time of the latest of them, 0 if there is none.
	LastCrashAt bulrushchute.Millis
	// Versions are those of the servers that crashed.
	Versions []bulrushchute.Version
}

// At returns the verdict for a server of a given version. A version that has not run
// the content yet may have been repaired, so it is tried once, unless too many
// servers have crashed already.
func (a Assessment) At(version bulrushchute.Version) Verdict {
	if a.Verdict == Quarantined && a.Crashes < certainCrashes+maxRetrials && !slices.Contains(a.Versions, version) {
		return Suspect
	}
	return a.Verdict
}

// evidence is a crash as evidence against one of its contents.
type evidence struct {
	crash   CrashID
	at      bulrushchute.Millis
	version bulrushchute.Version
	service bulrushchute.Service
	trial   bool
}

type clearanceKey struct {
	content Content
	crash   CrashID
}

// Ledger is a node's replica of the reports of all nodes. What it states depends on
// the reports only, not on the order in which they arrived, unless those of other
// services than the node's own exceed its size: it leaves out the last ones then. The
// nodes of such a service still know all of its reports, and decide.
type Ledger struct {
	own     bulrushchute.InstanceID
	service bulrushchute.Service
	reports map[bulrushchute.InstanceID]Report
	// byContent holds the crashes of all reports, and cleared the number of reports
	// that clear a content of a crash.
	byContent map[Content][]evidence
	cleared   map[clearanceKey]int
	// otherEntries is the number of index entries of other services.
	otherEntries int
	// ends holds those of all reports.
	ends  map[bulrushchute.Service][]bulrushchute.Millis
	marks map[Content]bulrushchute.Millis
}

// NewLedger returns the empty ledger of a node.
func NewLedger(own bulrushchute.InstanceID) *Ledger {
	return &Ledger{
		own:       own,
		reports:   make(map[bulrushchute.InstanceID]Report),
		byContent: make(map[Content][]evidence),
		cleared:   make(map[clearanceKey]int),
		ends:      make(map[bulrushchute.Service][]bulrushchute.Millis),
		marks:     make(map[Content]bulrushchute.Millis),
	}
}

// Empty reports whether all contents are free.
func (l *Ledger) Empty() bool {
	return len(l.byContent) == 0 && len(l.marks) == 0
}

// Apply replaces the report of a node. It returns false if the report is left out
// because there is no room for it.
func (l *Ledger) Apply(node bulrushchute.InstanceID, report Report) bool {
	l.index(l.reports[node], -1)
	delete(l.reports, node)
	if report.empty() {
		return true
	}
	if report.Service != l.service && l.otherEntries+report.size() > maxOtherEntries {
		return false
	}
	l.reports[node] = report
	l.index(report, 1)
	return true
}

// index adds a report to the index, or removes it.
func (l *Ledger) index(report Report, count int) {
	if report.Service != l.service {
		l.otherEntries += count * report.size()
	}
	for _, crash := range report.Crashes {
		for _, content := range crash.Contents {
			l.indexCrash(report.Service, crash, content, count)
		}
	}
	for _, at := range report.Ends {
		l.indexEnd(report.Service, at, count)
	}
	for _, clearance := range report.Clearances {
		for _, crash := range clearance.Crashes {
			key := clearanceKey{content: clearance.Content, crash: crash}
			l.cleared[key] += count
			if l.cleared[key] == 0 {
				delete(l.cleared, key)
			}
		}
	}
}

func (l *Ledger) indexEnd(service bulrushchute.Service, at bulrushchute.Millis, count int) {
	if count > 0 {
		l.ends[service] = append(l.ends[service], at)
		return
	}
	if i := slices.Index(l.ends[service], at); i >= 0 {
		l.ends[service] = slices.Delete(l.ends[service], i, i+1)
	}
	if len(l.ends[service]) == 0 {
		delete(l.ends, service)
	}
}

func (l *Ledger) indexCrash(service bulrushchute.Service, crash Crash, content Content, count int) {
	if count > 0 {
		l.byContent[content] = append(l.byContent[content], evidence{
			crash: crash.ID, at: crash.At, version: crash.Version, service: service, trial: crash.Trial != nil && *crash.Trial == content,
		})
		return
	}
	l.byContent[content] = slices.DeleteFunc(l.byContent[content], func(e evidence) bool { return e.crash == crash.ID })
	if len(l.byContent[content]) == 0 {
		delete(l.byContent, content)
	}
}

// SetService sets the service of the backend server beside this node.
func (l *Ledger) SetService(service bulrushchute.Service) {
	if service == l.service {
		return
	}
	l.service = service
	l.otherEntries = 0
	for _, report := range l.reports {
		if report.Service != service {
			l.otherEntries += report.size()
		}
	}
}

// RecordCrash adds a crash of the backend server beside this node to its report.
func (l *Ledger) RecordCrash(crash Crash) {
	l.applyOwn(l.Own().withCrash(crash))
}

// RecordEnd adds an end of the backend server beside this node that no request can
// have caused to its report.
func (l *Ledger) RecordEnd(now bulrushchute.Millis) {
	l.applyOwn(l.Own().withEnd(now))
}

func (l *Ledger) applyOwn(report Report) {
	report.Service = l.service
	l.Apply(l.own, report)
}

// RecordAnswer records that a request of a content has run to its end on the backend
// server beside this node. It reports whether that changed the node's report.
func (l *Ledger) RecordAnswer(now bulrushchute.Millis, content Content) bool {
	valid := l.valid(now, content)
	if len(valid) == 0 {
		return false
	}
	clearance := Clearance{Content: content}
	for _, e := range valid {
		clearance.Crashes = append(clearance.Crashes, e.crash)
	}
	l.applyOwn(l.Own().withClearance(clearance))
	return true
}

// Mark records that another node has told this one, as entry node, that a content is
// suspect. The mark expires soon, and says nothing to the other nodes.
func (l *Ledger) Mark(now bulrushchute.Millis, content Content) {
	if len(l.marks) < maxMarks {
		l.marks[content] = now + markDuration
	}
}

// Unmark removes the mark of a content that has been answered.
func (l *Ledger) Unmark(content Content) {
	delete(l.marks, content)
}

// AssessAtEntry is Assess for an entry node, for which a mark makes a content
// suspect.
func (l *Ledger) AssessAtEntry(now bulrushchute.Millis, content Content) Assessment {
	assessment := l.Assess(now, content)
	if assessment.Verdict == Free && now < l.marks[content] {
		assessment.Verdict = Suspect
	}
	return assessment
}

// valid returns the crashes of which a content was not cleared and that still count
// against it.
func (l *Ledger) valid(now bulrushchute.Millis, content Content) []evidence {
	var valid []evidence
	for _, e := range l.byContent[content] {
		if l.cleared[clearanceKey{content: content, crash: e.crash}] > 0 || now >= e.at+crashRetention {
			continue
		}
		valid = append(valid, e)
	}
	if countTrials(valid) == 0 {
		valid = slices.DeleteFunc(valid, func(e evidence) bool { return now >= e.at+suspectRetention })
	}
	return valid
}

// countTrials returns the number of crashes that ended a trial.
func countTrials(valid []evidence) int {
	count := 0
	for _, e := range valid {
		if e.trial {
			count++
		}
	}
	return count
}

// causes reports whether a content counts as the cause of crashes.
func (l *Ledger) causes(valid []evidence) bool {
	if countTrials(valid) < causeTrials {
		return false
	}
	return len(valid) >= coincidentCrashes || !slices.ContainsFunc(valid, func(e evidence) bool { return e.trial && l.othersEnded(e) })
}

// othersEnded reports whether servers of the service ended for another reason about
// the time of a crash.
func (l *Ledger) othersEnded(e evidence) bool {
	return slices.ContainsFunc(l.ends[e.service], func(at bulrushchute.Millis) bool {
		return at >= e.at-coincidenceWindow && at <= e.at+coincidenceWindow
	})
}

// Assess returns what is known of a content.
func (l *Ledger) Assess(now bulrushchute.Millis, content Content) Assessment {
	valid := l.valid(now, content)
	assessment := Assessment{Crashes: len(valid), Trials: countTrials(valid)}
	for _, e := range valid {
		assessment.LastCrashAt = max(assessment.LastCrashAt, e.at)
		assessment.Versions = append(assessment.Versions, e.version)
	}
	slices.Sort(assessment.Versions)
	assessment.Versions = slices.Compact(assessment.Versions)
	switch {
	case l.causes(valid):
		assessment.Until = assessment.LastCrashAt + quarantineDuration(len(valid))
		assessment.Verdict = Suspect
		if now < assessment.Until {
			assessment.Verdict = Quarantined
		}
	case len(valid) > 0:
		assessment.Verdict = Suspect
	}
	if assessment.Verdict != Quarantined {
		assessment.Until = 0
	}
	return assessment
}

// quarantineDuration returns the time from the last of a number of crashes to the
// next trial.
func quarantineDuration(crashes int) bulrushchute.Millis {
	if crashes >= certainCrashes+maxRetrials {
		return crashRetention
	}
	return retrialDelay << max(0, crashes-certainCrashes)
}

// Down reports whether the backend server beside a node has ended, if the process
// that started at the given time is the latest that is known.
func (l *Ledger) Down(node bulrushchute.InstanceID, startedAt bulrushchute.Millis) bool {
	return slices.ContainsFunc(l.reports[node].Crashes, func(crash Crash) bool { return crash.StartedAt == startedAt })
}

// Compact removes from this node's report what no longer matters: contents that were
// cleared, crashes that count against nothing, and clearances of crashes that no
// report names any more. A crash of which all contents were cleared becomes an end for
// another reason. It reports whether the report changed.
func (l *Ledger) Compact(now bulrushchute.Millis) bool {
	for content, until := range l.marks {
		if now >= until {
			delete(l.marks, content)
		}
	}
	report := l.Own()
	compacted := Report{Ends: slices.DeleteFunc(slices.Clone(report.Ends), func(at bulrushchute.Millis) bool { return now >= at+suspectRetention })}
	changed := len(compacted.Ends) != len(report.Ends)
	for _, crash := range report.Crashes {
		contents := slices.DeleteFunc(slices.Clone(crash.Contents), func(content Content) bool {
			valid := l.valid(now, content)
			return !slices.ContainsFunc(valid, func(e evidence) bool { return e.crash == crash.ID })
		})
		changed = changed || len(contents) != len(crash.Contents)
		crash.Contents = contents
		switch {
		case len(contents) > 0:
			compacted.Crashes = append(compacted.Crashes, crash)
		case now < crash.At+suspectRetention:
			// All of its requests have run to their end elsewhere.
			compacted = compacted.withEnd(crash.At)
		}
	}
	for _, clearance := range report.Clearances {
		if l.named(clearance) {
			compacted.Clearances = append(compacted.Clearances, clearance)
		} else {
			changed = true
		}
	}
	if changed {
		l.applyOwn(compacted)
	}
	return changed
}

// named reports whether a report other than this node's, which is compacted anyway,
// names a crash of a clearance with its content.
func (l *Ledger) named(clearance Clearance) bool {
	return slices.ContainsFunc(l.byContent[clearance.Content], func(e evidence) bool {
		return slices.Contains(clearance.Crashes, e.crash)
	})
}

// Own returns the report of this node.
func (l *Ledger) Own() Report {
	return l.reports[l.own]
}

// Durable returns the part of this node's report that must outlive the loss of all
// nodes: the crashes with the contents of which a trial ended with its server.
func (l *Ledger) Durable(now bulrushchute.Millis) Report {
	durable := Report{Service: l.service}
	for _, crash := range l.Own().Crashes {
		crash.Contents = slices.DeleteFunc(slices.Clone(crash.Contents), func(content Content) bool {
			return countTrials(l.valid(now, content)) == 0
		})
		if len(crash.Contents) > 0 {
			durable.Crashes = append(durable.Crashes, crash)
		}
	}
	return durable
}

// Counts are the numbers of contents by verdict.
type Counts struct {
	Suspect     int `json:"suspect"`
	Quarantined int `json:"quarantined"`
}

// Counts returns the numbers of contents that are not free.
func (l *Ledger) Counts(now bulrushchute.Millis) Counts {
	var counts Counts
	for content := range l.byContent {
		switch l.Assess(now, content).Verdict {
		case Suspect:
			counts.Suspect++
		case Quarantined:
			counts.Quarantined++
		}
	}
	return counts
}

// Expired reports whether a report that was made at some time, and whose crashes are
// all older, is no longer needed by any node.
func Expired(now, madeAt bulrushchute.Millis) bool {
	return now >= madeAt+crashRetention || madeAt > now+maxClockSkew
}
