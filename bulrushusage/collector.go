package bulrushusage

import (
	"cmp"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// futureWindows is how many windows after the present one may be received. Clocks
// of two nodes may differ by more than one window.
const futureWindows = 2

// Outgoing is a message that the user of a Collector must send.
type Outgoing struct {
	To      bulrushchute.InstanceID
	Address bulrushchute.Address
	Parts   []Part
}

// Collector is one node's part in the tree: it is a source, and it collects for a
// group, a data centre and the holder when it is this node's turn. It is not safe
// for concurrent use.
type Collector struct {
	settings   Settings
	self       bulrushchute.InstanceID
	dataCentre bulrushchute.DataCentre
	counter    *Counter
	tree       *tree
	lists      lists

	now           bulrushchute.Millis
	started       bool
	first         Window
	stopping      bool
	holder        bulrushchute.InstanceID
	holderAddress bulrushchute.Address
	// announced is the last settled window of SetHolder, and settled that of which
	// the clock has shown that it is plausible.
	announced Window
	settled   Window
	windows   map[Window]*window
	// sequence numbers all contributions that this node makes.
	sequence uint64
	// sourceBytes is the size of the node's own counts when they were last passed on.
	sourceBytes int
}

// NewCollector returns the collector of the node with the given ID, whose own
// requests the counter counts.
func NewCollector(settings Settings, self bulrushchute.InstanceID, dataCentre bulrushchute.DataCentre, counter *Counter) *Collector {
	return &Collector{
		settings:   settings,
		self:       self,
		dataCentre: dataCentre,
		counter:    counter,
		tree:       newTree(self, dataCentre),
		windows:    make(map[Window]*window),
	}
}

// SetTenants sets the sorted list of the tenants, whose indexes stand for them in
// messages.
func (c *Collector) SetTenants(sorted []bulrushchute.Tenant) {
	c.lists = c.lists.with(sorted)
}

// SetMembers replaces the members, which are those of all data centres. The slice
// must not be changed afterwards. It takes effect at the next Tick or Receive,
// at most once a second.
func (c *Collector) SetMembers(members []bulrushchute.Instance) {
	c.tree.setMembers(members)
}

// SetHolder sets the node that holds the duty, which may be this one, or empty if
// none is known, and the last window that is settled. Windows up to that one are
// dropped.
func (c *Collector) SetHolder(holder bulrushchute.InstanceID, address bulrushchute.Address, settled Window) {
	c.holder, c.holderAddress = holder, address
	c.announced = settled
}

// Receive processes contributions that another node has sent, and returns the
// receipts for it. A contribution that cannot be read or is not plausible gets none.
// A stopping node takes none that it would have to hand over, because it may end
// before it has.
func (c *Collector) Receive(now bulrushchute.Millis, from bulrushchute.InstanceID, parts []Part) []Receipt {
	c.advance(now)
	var receipts []Receipt
	for _, part := range parts {
		if c.receivePart(from, part) {
			receipts = append(receipts, Receipt{Key: part.Key})
		}
	}
	return receipts
}

func (c *Collector) receivePart(from bulrushchute.InstanceID, part Part) bool {
	received, valid := c.read(from, part)
	if !valid || part.Key.Window > c.present()+futureWindows {
		return false
	}
	if part.Key.Window <= c.settled {
		return true
	}
	if part.Key.Window < oldestKept(c.present()) || c.stopping && c.target(parentOf(received.key)).id != c.self {
		return false
	}
	return c.store(received)
}

// store adds a contribution to the place in the tree to which it belongs. It
// returns false if there is no room.
func (c *Collector) store(added contribution) bool {
	w := c.window(added.key.Window)
	if w.holds() >= maxContributions {
		return false
	}
	w.aggregate(parentOf(added.key)).put(added)
	return true
}

// ReceiveReceipts processes receipts that another node has sent.
func (c *Collector) ReceiveReceipts(now bulrushchute.Millis, from bulrushchute.InstanceID, receipts []Receipt) {
	c.advance(now)
	for _, receipt := range receipts {
		w, exists := c.windows[receipt.Key.Window]
		if !exists {
			continue
		}
		key := c.fullKey(c.self, receipt.Key)
		d, exists := w.deliveries[identity(key)]
		if exists && d.target == from && d.contribution.key.Sequence == key.Sequence {
			d.acknowledged = true
		}
	}
}

// Tick returns the messages that are due. The owner calls it every 50 ms or so.
func (c *Collector) Tick(now bulrushchute.Millis) []Outgoing {
	c.advance(now)
	c.start()
	numbers := c.numbers()
	for _, number := range numbers {
		c.update(c.windows[number])
	}
	return c.outgoing(numbers)
}

// Stop begins a planned stop. The node passes on its own counts as final and hands
// what it has collected to its successors. It should call Tick until Pending
// returns false or a few seconds have passed.
func (c *Collector) Stop(now bulrushchute.Millis) []Outgoing {
	c.advance(now)
	c.stopping, c.tree.stopping = true, true
	c.tree.rebuild(c.now)
	return c.Tick(now)
}

// Collects reports whether this node adds up the counts of its group.
func (c *Collector) Collects() bool {
	return c.tree.collector(place{bulrushchute.UsageGroup, c.dataCentre, groupOf(c.self, c.tree.bits)}).id == c.self
}

// Pending reports whether the node waits for receipts, so that a planned stop loses
// counts if the process ends now.
func (c *Collector) Pending() bool {
	for _, w := range c.windows {
		for _, d := range w.deliveries {
			if d.target != "" && !d.acknowledged {
				return true
			}
		}
	}
	return false
}

// advance takes the time, new members and the last settled window into account.
func (c *Collector) advance(now bulrushchute.Millis) {
	c.now = max(c.now, now)
	c.tree.refresh(c.now)
	if c.announced > c.settled && c.announced <= c.present()+futureWindows {
		c.settled = c.announced
		c.counter.Forget(c.settled)
	}
	for number := range c.windows {
		if number <= c.settled || number < oldestKept(c.present()) {
			delete(c.windows, number)
		}
	}
}

// start creates the windows in which this node is a source. The first one is the
// window before the node's start: its counts are empty, but they are expected of
// all members.
func (c *Collector) start() {
	if !c.started {
		c.started = true
		c.first = c.present() - min(c.present(), 1)
	}
	for number := max(c.first, c.settled+1, oldestKept(c.present())); number <= c.present(); number++ {
		c.window(number)
	}
}

// present returns the window that contains the present instant.
func (c *Collector) present() Window {
	return bulrushchute.UsageWindowOf(c.now, c.settings.WindowMs)
}

func (c *Collector) window(number Window) *window {
	w, exists := c.windows[number]
	if !exists {
		w = newWindow(number)
		c.windows[number] = w
	}
	return w
}

// numbers returns the windows in order.
func (c *Collector) numbers() []Window {
	numbers := make([]Window, 0, len(c.windows))
	for number := range c.windows {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

// collectorOf returns the present collector of the counts of a contribution.
func (c *Collector) collectorOf(key bulrushchute.UsageKey) bulrushchute.InstanceID {
	return c.tree.collector(makerOf(key)).id
}

// target returns the node that adds up the contributions at a place, which is empty
// if it is not known.
func (c *Collector) target(at place) member {
	if at.level == levelHolder {
		return member{id: c.holder, address: c.holderAddress}
	}
	return c.tree.collector(at)
}

func compareKeys(a, b bulrushchute.UsageKey) int {
	return cmp.Or(
		cmp.Compare(a.Window, b.Window),
		cmp.Compare(a.Level, b.Level),
		cmp.Compare(a.Bits, b.Bits),
		cmp.Compare(a.Group, b.Group),
		cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(a.Sender, b.Sender),
	)
}
