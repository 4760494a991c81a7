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
	// retrialDelay is the time after the second crash at which a third server is
	// risked, so that a coincidence is found out soon. longRetrialDelay is the time
	// after the third crash; it doubles with each further one.
	retrialDelay     = 30 * bulrushchute.Second
	longRetrialDelay = 10 * bulrushchute.Minute
	// certainCrashes is the number of crashes after which a content counts as their
	// cause, and maxRetrials the number of servers that are risked after that.
	certainCrashes = 3
	maxRetrials    = 3
	// maxClockSkew limits how far in the future a crash may be.
	maxClockSkew = bulrushchute.Minute
	// markDuration is the time for which a node regards a content as suspect because
	// of a reply. The reports of the crash arrive meanwhile.
	markDuration = 2 * bulrushchute.Second
	// maxMarks bounds the marks that a node keeps.
	maxMarks = 4096
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
	trial   bool
}

type clearanceKey struct {
	content Content
	crash   CrashID
}

// Ledger is a node's replica of the reports of all nodes. What it states depends on
// the reports only, not on the order in which they arrived.
type Ledger struct {
	own     bulrushchute.InstanceID
	reports map[bulrushchute.InstanceID]Report
	// byContent holds the crashes of all reports, and cleared the number of reports
	// that clear a content of a crash.
	byContent map[Content][]evidence
	cleared   map[clearanceKey]int
	marks     map[Content]bulrushchute.Millis
}

// NewLedger returns the empty ledger of a node.
func NewLedger(own bulrushchute.InstanceID) *Ledger {
	return &Ledger{
		own:       own,
		reports:   make(map[bulrushchute.InstanceID]Report),
		byContent: make(map[Content][]evidence),
		cleared:   make(map[clearanceKey]int),
		marks:     make(map[Content]bulrushchute.Millis),
	}
}

// Empty reports whether all contents are free.
func (l *Ledger) Empty() bool {
	return len(l.byContent) == 0 && len(l.marks) == 0
}

// Apply replaces the report of a node.
func (l *Ledger) Apply(node bulrushchute.InstanceID, report Report) {
	l.index(l.reports[node], -1)
	delete(l.reports, node)
	if len(report.Crashes) == 0 && len(report.Clearances) == 0 {
		return
	}
	l.reports[node] = report
	l.index(report, 1)
}

// index adds a report to the index, or removes it.
func (l *Ledger) index(report Report, count int) {
	for _, crash := range report.Crashes {
		for _, content := range crash.Contents {
			l.indexCrash(crash, content, count)
		}
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

func (l *Ledger) indexCrash(crash Crash, content Content, count int) {
	if count > 0 {
		l.byContent[content] = append(l.byContent[content], evidence{
			crash: crash.ID, at: crash.At, version: crash.Version, trial: crash.Trial != nil && *crash.Trial == content,
		})
		return
	}
	l.byContent[content] = slices.DeleteFunc(l.byContent[content], func(e evidence) bool { return e.crash == crash.ID })
	if len(l.byContent[content]) == 0 {
		delete(l.byContent, content)
	}
}

// RecordCrash adds a crash of the backend server beside this node to its report.
func (l *Ledger) RecordCrash(crash Crash) {
	l.Apply(l.own, l.reports[l.own].withCrash(crash))
}

// RecordAnswer records that a request of a content has run to its end on the backend
// server beside this node. It reports whether that changed the node's report.
func (l *Ledger) RecordAnswer(now bulrushchute.Millis, content Content) bool {
	valid, _ := l.valid(now, content)
	if len(valid) == 0 {
		return false
	}
	clearance := Clearance{Content: content}
	for _, e := range valid {
		clearance.Crashes = append(clearance.Crashes, e.crash)
	}
	l.Apply(l.own, l.reports[l.own].withClearance(clearance))
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
// against it, and whether one of them ended a trial.
func (l *Ledger) valid(now bulrushchute.Millis, content Content) ([]evidence, bool) {
	var valid []evidence
	trial := false
	for _, e := range l.byContent[content] {
		if l.cleared[clearanceKey{content: content, crash: e.crash}] > 0 || now >= e.at+crashRetention {
			continue
		}
		valid = append(valid, e)
		trial = trial || e.trial
	}
	if !trial {
		valid = slices.DeleteFunc(valid, func(e evidence) bool { return now >= e.at+suspectRetention })
	}
	return valid, trial
}

// Assess returns what is known of a content.
func (l *Ledger) Assess(now bulrushchute.Millis, content Content) Assessment {
	valid, trial := l.valid(now, content)
	assessment := Assessment{Crashes: len(valid)}
	for _, e := range valid {
		assessment.LastCrashAt = max(assessment.LastCrashAt, e.at)
		assessment.Versions = append(assessment.Versions, e.version)
	}
	slices.Sort(assessment.Versions)
	assessment.Versions = slices.Compact(assessment.Versions)
	switch {
	case len(valid) > 0 && trial:
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
	switch {
	case crashes < certainCrashes:
		return retrialDelay
	case crashes < certainCrashes+maxRetrials:
		return longRetrialDelay << (crashes - certainCrashes)
	default:
		return crashRetention
	}
}

// Down reports whether the backend server beside a node has ended, if the process
// that started at the given time is the latest that is known.
func (l *Ledger) Down(node bulrushchute.InstanceID, startedAt bulrushchute.Millis) bool {
	return slices.ContainsFunc(l.reports[node].Crashes, func(crash Crash) bool { return crash.StartedAt == startedAt })
}

// Compact removes from this node's report what no longer matters: contents that were
// cleared, crashes that count against nothing, and clearances of crashes that no
// report names any more. It reports whether the report changed.
func (l *Ledger) Compact(now bulrushchute.Millis) bool {
	for content, until := range l.marks {
		if now >= until {
			delete(l.marks, content)
		}
	}
	report := l.reports[l.own]
	compacted := Report{}
	changed := false
	for _, crash := range report.Crashes {
		contents := slices.DeleteFunc(slices.Clone(crash.Contents), func(content Content) bool {
			valid, _ := l.valid(now, content)
			return !slices.ContainsFunc(valid, func(e evidence) bool { return e.crash == crash.ID })
		})
		changed = changed || len(contents) != len(crash.Contents)
		crash.Contents = contents
		if len(contents) > 0 {
			compacted.Crashes = append(compacted.Crashes, crash)
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
		l.Apply(l.own, compacted)
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
// nodes: the crashes with the contents that a trial found to be their cause.
func (l *Ledger) Durable(now bulrushchute.Millis) Report {
	var durable Report
	for _, crash := range l.reports[l.own].Crashes {
		crash.Contents = slices.DeleteFunc(slices.Clone(crash.Contents), func(content Content) bool {
			_, trial := l.valid(now, content)
			return !trial
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
