package bulrushresume

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
)

const testStart bulrushchute.Millis = 1_700_000_000_000

func connectionOf(number byte) ConnectionID { return ConnectionID{number} }

func attemptOf(number byte) bulrushchute.AttemptID { return bulrushchute.AttemptID{number} }

func replyOf(number byte) bulrushchute.Reply {
	return bulrushchute.Reply{ID: attemptOf(number), Answer: &bulrushchute.Answer{Status: 200, Body: []byte{number}}}
}

func ExampleLedger() {
	ledger := NewLedger(DefaultLimits)
	ledger.Opened(connectionOf(1))
	fmt.Println(ledger.Begin(testStart, connectionOf(1), attemptOf(1), 1000))
	ledger.End(testStart+100, attemptOf(1), replyOf(1))
	ledger.Opened(connectionOf(2))
	state, reply := ledger.Resume(testStart+200, ledger.Fence(testStart+200, []ConnectionID{connectionOf(1)}), connectionOf(2), attemptOf(1))
	fmt.Println(state == StateReplied, reply.Answer.Status)
	state, _ = ledger.Resume(testStart+200, ledger.Fence(testStart+200, []ConnectionID{connectionOf(1)}), connectionOf(2), attemptOf(2))
	fmt.Println(state == StateNeverSeen, ledger.Begin(testStart+300, connectionOf(1), attemptOf(2), 1000))
	// Output:
	// true
	// true 200
	// true false
}

// Guards against a wrong answer about an attempt, which would let work run twice or be
// reported as not run although it ran.
func TestResume(t *testing.T) {
	const deadline = 1000
	old, current := connectionOf(1), connectionOf(2)
	cases := map[string]struct {
		prepare func(*Ledger)
		at      bulrushchute.Millis
		want    State
	}{
		"never arrived":         {func(*Ledger) {}, 100, StateNeverSeen},
		"runs":                  {func(l *Ledger) { l.Begin(testStart, old, attemptOf(1), deadline) }, 100, StateRunning},
		"runs past deadline":    {func(l *Ledger) { l.Begin(testStart, old, attemptOf(1), deadline) }, deadline + 100, StateRunning},
		"replied":               {func(l *Ledger) { runAttempt(l, old) }, 100, StateReplied},
		"replied long ago":      {func(l *Ledger) { runAttempt(l, old) }, deadline, StateGone},
		"asked after a suspend": {func(l *Ledger) { runAttempt(l, old) }, 20 * bulrushchute.Second, StateGone},
		"asked twice": {func(l *Ledger) {
			runAttempt(l, old)
			l.Resume(testStart+50, l.Fence(testStart+50, []ConnectionID{old}), current, attemptOf(1))
		}, 100, StateGone},
		"connection ended long ago": {func(l *Ledger) { l.Lost(testStart, old) }, bulrushchute.Minute, StateGone},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ledger := NewLedger(DefaultLimits)
			ledger.Opened(old)
			tc.prepare(ledger)
			ledger.Expire(testStart + tc.at)
			state, _ := ledger.Resume(testStart+tc.at, ledger.Fence(testStart+tc.at, []ConnectionID{old}), current, attemptOf(1))
			assert.Equal(t, state, tc.want)
		})
	}
	restarted := NewLedger(DefaultLimits)
	state, _ := restarted.Resume(testStart, restarted.Fence(testStart, []ConnectionID{old}), current, attemptOf(1))
	assert.Equal(t, state, StateGone, "a restarted node does not know what its former process ran")
}

func runAttempt(l *Ledger, connection ConnectionID) {
	l.Begin(testStart, connection, attemptOf(1), 1000)
	l.End(testStart+10, attemptOf(1), replyOf(1))
}

// Guards against kept answers that exceed the limit of their bytes.
func TestKeptAnswersAreLimited(t *testing.T) {
	ledger := NewLedger(Limits{KeptBytes: 2000, KeptFor: bulrushchute.Second})
	ledger.Opened(connectionOf(1))
	for number := range byte(10) {
		ledger.Begin(testStart, connectionOf(1), attemptOf(number), 1000)
		ledger.End(testStart, attemptOf(number), replyOf(number))
		assert.Assert(t, ledger.Bytes() <= 2000)
	}
	state, _ := ledger.Resume(testStart, ledger.Fence(testStart, []ConnectionID{connectionOf(1)}), connectionOf(2), attemptOf(0))
	assert.Equal(t, state, StateGone)
	state, _ = ledger.Resume(testStart, ledger.Fence(testStart, []ConnectionID{connectionOf(1)}), connectionOf(2), attemptOf(9))
	assert.Equal(t, state, StateReplied)
}

// Guards against work that goes on for a sender that is gone.
func TestAbandonedAttemptsAreCancelled(t *testing.T) {
	ledger := NewLedger(DefaultLimits)
	ledger.Opened(connectionOf(1))
	for number := range byte(2) {
		ledger.Begin(testStart, connectionOf(1), attemptOf(number), 1000)
	}
	ledger.Lost(testStart+10, connectionOf(1))
	ledger.Resume(testStart+50, ledger.Fence(testStart+50, []ConnectionID{connectionOf(1)}), connectionOf(2), attemptOf(0))
	assert.Equal(t, len(ledger.Expire(testStart+10+ResumeWait-1)), 0)
	assert.DeepEqual(t, ledger.Expire(testStart+10+ResumeWait), []bulrushchute.AttemptID{attemptOf(1)})
	assert.Equal(t, len(ledger.Expire(testStart+10+2*ResumeWait)), 0)
}

// Guards, over any order of arrivals, ends, lost connections, questions, late
// duplicates and restarts of the node, against an attempt that runs twice in one
// process, against "not run" for an attempt that ran before or runs later, and against
// a reply that is given for another attempt, or twice after questions.
func TestLedgerUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		ledger := NewLedger(DefaultLimits)
		runs, denied := map[byte]int{}, map[byte]bool{}
		running, resent := map[byte]bool{}, map[byte]int{}
		opened := byte(1)
		ledger.Opened(connectionOf(1))
		attempts, connections := rapid.ByteRange(1, 3), rapid.ByteRange(1, 4)
		// An attempt is sent once, on the newest connection at that time, before the
		// sender asks about it. It may arrive at any time afterwards, also twice.
		sentOn, lost := map[byte]byte{}, map[byte]bool{}
		send := func(number byte) byte {
			if sentOn[number] == 0 {
				sentOn[number] = opened
			}
			return sentOn[number]
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				if opened = min(opened+1, 4); !lost[opened] {
					ledger.Opened(connectionOf(opened))
				}
			},
			"arrive": func(t *rapid.T) {
				number := attempts.Draw(t, "attempt")
				if lost[send(number)] {
					return
				}
				if ledger.Begin(now, connectionOf(send(number)), attemptOf(number), 2000) {
					runs[number]++
					running[number] = true
					assert.Assert(t, runs[number] == 1, "attempt %d runs twice", number)
					assert.Assert(t, !denied[number], "attempt %d runs after it was reported as not run", number)
				}
			},
			"end": func(t *rapid.T) {
				number := attempts.Draw(t, "attempt")
				if running[number] {
					running[number] = false
					ledger.End(now, attemptOf(number), replyOf(number))
				}
			},
			"ask": func(t *rapid.T) {
				number := attempts.Draw(t, "attempt")
				old := []ConnectionID{connectionOf(send(number))}
				opened = max(opened, sentOn[number]+1)
				state, reply := ledger.Resume(now, ledger.Fence(now, old), connectionOf(9), attemptOf(number))
				switch state {
				case StateNeverSeen:
					denied[number] = true
					assert.Assert(t, runs[number] == 0, "attempt %d ran", number)
				case StateReplied:
					resent[number]++
					assert.Assert(t, resent[number] == 1 && reply.ID == attemptOf(number))
				case StateRunning:
					assert.Assert(t, running[number])
				}
			},
			"lose": func(t *rapid.T) {
				connection := connections.Draw(t, "connection")
				lost[connection] = true
				ledger.Lost(now, connectionOf(connection))
			},
			"wait": func(t *rapid.T) {
				now += bulrushchute.Millis(rapid.IntRange(1, 3000).Draw(t, "ms"))
				for _, id := range ledger.Expire(now) {
					assert.Assert(t, running[id[0]])
				}
			},
		})
		for number, isRunning := range running {
			if isRunning {
				ledger.End(now, attemptOf(number), replyOf(number))
			}
		}
		for connection := range opened + 1 {
			ledger.Lost(now, connectionOf(connection))
		}
		ledger.Expire(now + 10*bulrushchute.Minute)
		assert.Assert(t, ledger.Len() == 0 && ledger.Bytes() == 0 && len(ledger.lost) == 0 && len(ledger.fences) == 0)
	})
}

// Guards against a process that answers for its former one. All schedules of two
// attempts on two connections with one restart are tried.
func TestSchedulesWithARestart(t *testing.T) {
	steps := []string{"arrive 1", "arrive 2", "end 1", "end 2", "restart", "ask 1", "ask 2", "arrive 1 late"}
	var order []string
	var try func(rest []string)
	checked := 0
	try = func(rest []string) {
		if len(rest) == 0 {
			checked++
			playSchedule(t, order)
			return
		}
		for i, step := range rest {
			order = append(order, step)
			try(slices.Concat(rest[:i], rest[i+1:]))
			order = order[:len(order)-1]
		}
	}
	try(steps)
	assert.Equal(t, checked, 40_320)
}

func playSchedule(t *testing.T, order []string) {
	ledger := NewLedger(DefaultLimits)
	ledger.Opened(connectionOf(1))
	ran, denied, running := map[byte]int{}, map[byte]bool{}, map[byte]bool{}
	for _, step := range order {
		number := byte(1)
		if slices.Contains([]string{"arrive 2", "end 2", "ask 2"}, step) {
			number = 2
		}
		switch step {
		case "restart":
			// Connections do not outlive the process.
			ledger = NewLedger(DefaultLimits)
			clear(running)
		case "ask 1", "ask 2":
			if state, _ := ledger.Resume(testStart, ledger.Fence(testStart, []ConnectionID{connectionOf(1)}), connectionOf(2), attemptOf(number)); state == StateNeverSeen {
				denied[number] = true
				if ran[number] > 0 {
					t.Fatalf("attempt %d ran and is reported as not run: %v", number, order)
				}
			}
		case "end 1", "end 2":
			if running[number] {
				ledger.End(testStart, attemptOf(number), replyOf(number))
				running[number] = false
			}
		default:
			restarted := slices.Contains(order[:slices.Index(order, step)], "restart")
			if !restarted && ledger.Begin(testStart, connectionOf(1), attemptOf(number), 1000) {
				ran[number]++
				running[number] = true
				if ran[number] > 1 || denied[number] {
					t.Fatalf("attempt %d runs again, or after it was reported as not run: %v", number, order)
				}
			}
		}
	}
}

// Guards against connections that are remembered for ever, or forgotten although they
// are open again.
func TestConnectionsAreForgotten(t *testing.T) {
	l := NewLedger(DefaultLimits)
	closed, reopened, closedAgain := connectionOf(1), connectionOf(2), connectionOf(3)
	for _, connection := range []ConnectionID{closed, reopened, closedAgain} {
		l.Opened(connection)
		l.Lost(testStart, connection)
	}
	l.Opened(reopened)
	l.Opened(closedAgain)
	l.Lost(testStart+1, closedAgain)
	known := func() int { return len(l.connections) }
	l.Expire(testStart + connectionMemory - 1)
	assert.Equal(t, known(), 3)
	l.Expire(testStart + connectionMemory)
	assert.Equal(t, known(), 2)
	l.Expire(testStart + connectionMemory + 1)
	assert.Equal(t, known(), 1)
	assert.Assert(t, l.Fence(testStart, []ConnectionID{reopened}))
	assert.Equal(t, len(l.endings), 0)
}

// The cost of an attempt must not grow with the connections that are open meanwhile.
func BenchmarkAttemptBesideConnections(b *testing.B) {
	for _, connections := range []int{10, 100, 1000} {
		b.Run(strconv.Itoa(connections), func(b *testing.B) {
			l := NewLedger(DefaultLimits)
			for number := range connections {
				l.Opened(ConnectionID{byte(number), byte(number >> 8), 1})
			}
			current := ConnectionID{1}
			l.Opened(current)
			now := bulrushchute.Millis(1_000_000)
			for number := 0; b.Loop(); number++ {
				id := bulrushchute.AttemptID{byte(number), byte(number >> 8), byte(number >> 16), byte(number >> 24)}
				now += bulrushchute.Millis(number & 1)
				l.Begin(now, current, id, 100)
				l.End(now, id, bulrushchute.Reply{ID: id})
				l.Expire(now)
			}
		})
	}
}
