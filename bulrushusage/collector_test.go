package bulrushusage

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// A count that is lost or added twice in the tree gives a wrong report.
func TestSumsAreExact(t *testing.T) {
	cases := map[string]struct {
		nodes, dataCentres int
		loss, duplicate    float64
		viewDelay          bulrushchute.Millis
		// during runs in the middle of the second window.
		during func(f *fleet)
	}{
		"one node":                   {nodes: 1, dataCentres: 1},
		"one node in a data centre":  {nodes: 2, dataCentres: 2},
		"67 nodes in 3 data centres": {nodes: 67, dataCentres: 3},
		"900 nodes in one":           {nodes: 900, dataCentres: 1},
		"lost, duplicated and reordered": {
			nodes: 67, dataCentres: 3, loss: 0.2, duplicate: 0.3,
		},
		"group collector cut off for 3 s": {nodes: 67, dataCentres: 3, during: func(f *fleet) {
			f.cut(f.groupCollector(f.bystander()), 3000)
		}},
		"data centre collector cut off for 3 s": {nodes: 67, dataCentres: 3, during: func(f *fleet) {
			f.cut(f.dataCentreCollector("dc1"), 3000)
		}},
		"nodes join": {nodes: 60, dataCentres: 3, viewDelay: 3000, during: func(f *fleet) {
			for range 12 {
				f.add("dc0")
				f.add("dc1")
			}
			f.spread(false)
		}},
		"planned stops, three at a time, in turn": {nodes: 67, dataCentres: 3, viewDelay: 1000, during: func(f *fleet) {
			for turn := range 6 {
				f.after(bulrushchute.Millis(turn)*1500, func() {
					for _, n := range f.order[1+3*turn:][:3] {
						f.stop(n)
					}
				})
			}
		}},
		"all collectors of a data centre stop": {nodes: 67, dataCentres: 3, viewDelay: 500, during: func(f *fleet) {
			stopped := []*fleetNode{f.dataCentreCollector("dc1")}
			for _, n := range f.order {
				if collector := f.groupCollector(n); n.instance.DataCentre == "dc1" && !slices.Contains(stopped, collector) {
					stopped = append(stopped, collector)
				}
			}
			for _, n := range stopped {
				f.stop(n)
			}
		}},
		"only node of a data centre is replaced": {nodes: 3, dataCentres: 3, during: func(f *fleet) {
			f.stop(f.order[1])
			f.after(100, func() {
				f.add("dc1")
				f.spread(false)
			})
		}},
		"tenants change and differ": {nodes: 67, dataCentres: 3, during: func(f *fleet) {
			for i, n := range f.order {
				switch i % 3 {
				case 0:
					n.collector.SetTenants(f.tenants[:20])
				case 1:
					n.collector.SetTenants(f.tenants[10:])
				}
			}
		}},
		"holder changes": {nodes: 67, dataCentres: 3, during: func(f *fleet) {
			f.setHolder(f.order[10])
		}},
		"holder not known for some time": {nodes: 67, dataCentres: 3, during: func(f *fleet) {
			for _, n := range f.order {
				n.collector.SetHolder("", "", 0)
			}
			f.after(6000, func() { f.setHolder(f.order[20]) })
		}},
		"clocks 3 s off": {nodes: 67, dataCentres: 3, during: func(f *fleet) {
			f.order[5].skew, f.order[6].skew = 3000, -3000
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, test.nodes, test.dataCentres, 40)
			f.loss, f.duplicate, f.delay, f.viewDelay = test.loss, test.duplicate, 300, test.viewDelay
			f.run(7500, 10)
			if test.during != nil {
				test.during(f)
			}
			f.run(7500, 10)
			f.run(15000, 0)
			f.assertExact(t)
		})
	}
}

// The holder must not wait until the deadline if all nodes work.
func TestTotalIsCompleteSoonAfterTheWindow(t *testing.T) {
	f := newFleet(1, 67, 3, 40)
	f.run(10000, 10)
	assert.Assert(t, !f.holder.collector.Total(testWindow+1).Complete)
	f.run(1000, 10)
	total := f.holder.collector.Total(testWindow + 1)
	assert.DeepEqual(t, total, Total{Counts: f.truth[testWindow+1], Sources: 67, Expected: 67, Complete: true})
}

// A killed node loses at most the counts of its last second.
func TestKilledNodeLosesOneSecond(t *testing.T) {
	cases := map[string]func(f *fleet) *fleetNode{
		"source":                func(f *fleet) *fleetNode { return f.bystander() },
		"group collector":       func(f *fleet) *fleetNode { return f.groupCollector(f.bystander()) },
		"data centre collector": func(f *fleet) *fleetNode { return f.dataCentreCollector("dc1") },
	}
	for name, choose := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 67, 3, 40)
			f.viewDelay = 500
			f.run(6000, 0)
			victim := choose(f)
			for _, n := range f.order {
				f.count(n, "tenant0001", 100)
			}
			f.run(1500, 0)
			f.count(victim, "tenant0001", 7)
			f.kill(victim)
			f.run(10000, 0)
			assert.Equal(t, f.holder.collector.Total(testWindow + 1).Counts["tenant0001"], uint64(6700))
		})
	}
}

// What a source has passed on must survive it, also when another node takes over
// from the collector that has it.
func TestCountsOfDeadSourceMoveToSuccessor(t *testing.T) {
	f := newFleet(1, 67, 3, 40)
	f.run(6000, 0)
	source := f.bystander()
	collector := f.groupCollector(source)
	f.count(source, "tenant0001", 50)
	f.run(1500, 0)
	f.kill(source)
	f.run(2000, 0)
	f.stop(collector)
	f.run(8000, 0)
	f.assertExact(t)
}

// Settled windows must not be held or counted again.
func TestSettledWindowsAreDropped(t *testing.T) {
	f := newFleet(1, 5, 1, 3)
	f.run(12000, 3)
	n := f.order[1]
	n.collector.SetHolder("", "", testWindow+1)
	n.collector.Tick(f.now)
	assert.DeepEqual(t, n.collector.numbers(), []Window{testWindow + 2})
	assert.Equal(t, n.counter.Began(f.now-5000, "tenant0001"), testWindow+2)

	n.collector.SetHolder("", "", testWindow+1000)
	n.collector.Tick(f.now)
	assert.DeepEqual(t, n.collector.numbers(), []Window{testWindow + 2})
}

// Without limits, a faulty node could fill the memory of others or add counts twice.
func TestImplausiblePartsGetNoReceipt(t *testing.T) {
	f := newFleet(1, 20, 1, 3)
	f.run(1000, 0)
	receiver, sender := f.order[0].collector, f.order[1].instance.ID
	own := groupOf(sender, 1).number
	valid := func() Part {
		return Part{
			Key:     bulrushchute.UsageKey{Window: testWindow, Level: bulrushchute.UsageSource, Bits: 1, Group: own, Sequence: 1000},
			Sources: 1, Expected: 1, Named: Counts{"tenant0001": 1},
		}
	}
	cases := map[string]struct {
		from   bulrushchute.InstanceID
		change func(part *Part)
		want   int
	}{
		"valid":             {sender, func(*Part) {}, 1},
		"future window":     {sender, func(p *Part) { p.Key.Window += 3 }, 0},
		"past window":       {sender, func(p *Part) { p.Key.Window -= WindowsKept }, 0},
		"level 0":           {sender, func(p *Part) { p.Key.Level = 0 }, 0},
		"level of holder":   {sender, func(p *Part) { p.Key.Level = levelHolder }, 0},
		"negative bits":     {sender, func(p *Part) { p.Key.Bits = -1 }, 0},
		"absurd bits":       {sender, func(p *Part) { p.Key.Bits = 63 }, 0},
		"other group":       {sender, func(p *Part) { p.Key.Group = 1 - own }, 0},
		"group too large":   {sender, func(p *Part) { p.Key.Group = 2 }, 0},
		"other data centre": {sender, func(p *Part) { p.Key.DataCentre = "dc7" }, 0},
		"unknown data centre": {sender, func(p *Part) {
			p.Key = bulrushchute.UsageKey{Window: testWindow, Level: bulrushchute.UsageDataCentre, DataCentre: "dc7", Sequence: 1}
		}, 0},
		"unknown sender":  {"stranger", func(*Part) {}, 0},
		"several sources": {sender, func(p *Part) { p.Sources = 2 }, 0},
		"unknown list":    {sender, func(p *Part) { p.ListHash = 5 }, 0},
		"no list":         {sender, func(p *Part) { p.Indexed = []byte{1} }, 0},
		"absurd count":    {sender, func(p *Part) { p.Named = Counts{"tenant0001": 1 << 60} }, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			part := valid()
			test.change(&part)
			assert.Equal(t, len(receiver.Receive(f.now, test.from, []Part{part})), test.want)
		})
	}
}

// A stopping node may end before it has handed over what it takes, and its own sum
// must not compete with that of its successor.
func TestStoppingCollectorLeavesCollectionToSuccessor(t *testing.T) {
	f := newFleet(1, 20, 1, 3)
	f.run(6500, 5)
	source := f.bystander()
	collector := f.groupCollector(source)
	assert.Assert(t, collector != f.dataCentreCollector("dc0"))
	sums := func() int {
		count := 0
		for _, d := range collector.collector.windows[testWindow].deliveries {
			if d.contribution.key.Level == bulrushchute.UsageGroup {
				count++
			}
		}
		return count
	}
	assert.Equal(t, sums(), 1)
	messages := collector.collector.Stop(f.now)
	assert.Assert(t, len(messages) > 0)
	assert.Equal(t, sums(), 0)

	g := groupOf(source.instance.ID, 1)
	part := Part{
		Key:     bulrushchute.UsageKey{Window: testWindow, Level: bulrushchute.UsageSource, Bits: g.bits, Group: g.number, Sequence: 1000},
		Sources: 1, Expected: 1,
	}
	assert.Equal(t, len(collector.collector.Receive(f.now, source.instance.ID, []Part{part})), 0)
}
