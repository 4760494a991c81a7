package bulrushquarantine

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// answerMemory is the time for which an answer shows that its request does not
	// crash servers. It is short, since data that the server reads may change.
	answerMemory = 2 * bulrushchute.Second
	// maxAnswers and maxAnswerBodyBytes bound what is kept.
	maxAnswers         = 64
	maxAnswerBodyBytes = 4 << 10
)

// Answers are the requests that a backend server has run to their end lately. They
// are hashed only when a server crashes.
type Answers struct {
	ring [maxAnswers]answeredRun
	next int
}

type answeredRun struct {
	attempt    bulrushchute.Attempt
	answeredAt bulrushchute.Millis
}

// Record records that an attempt was answered.
func (an *Answers) Record(now bulrushchute.Millis, attempt bulrushchute.Attempt) {
	if len(attempt.Body) > maxAnswerBodyBytes {
		return
	}
	an.ring[an.next] = answeredRun{attempt: attempt, answeredAt: now}
	an.next = (an.next + 1) % maxAnswers
}

// Contents returns the contents of the recent answers.
func (an *Answers) Contents(now bulrushchute.Millis) map[Content]bool {
	contents := make(map[Content]bool)
	for _, run := range an.ring {
		if run.answeredAt > 0 && now < run.answeredAt+answerMemory {
			contents[ContentOf(run.attempt)] = true
		}
	}
	return contents
}
