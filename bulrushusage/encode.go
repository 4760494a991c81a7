package bulrushusage

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bulrushchute.example/bulrushchute"
)

const (
	// listsKept is the number of lists of tenants that a node can read.
	listsKept = 4
	// maxCount is far above the requests of a window, and sums of such counts do not
	// overflow.
	maxCount = 1 << 44
)

// tenantList is a list of tenants whose indexes are used in messages. It is never
// changed.
type tenantList struct {
	hash    uint64
	sorted  []bulrushchute.Tenant
	indexes map[bulrushchute.Tenant]int
}

func newTenantList(sorted []bulrushchute.Tenant) *tenantList {
	digest := xxhash.New()
	list := &tenantList{sorted: slices.Clone(sorted), indexes: make(map[bulrushchute.Tenant]int, len(sorted))}
	for i, tenant := range list.sorted {
		list.indexes[tenant] = i
		// Writes to a Digest never fail. The length keeps the names apart.
		_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(tenant))))
		_, _ = digest.WriteString(string(tenant))
	}
	// In messages, 0 stands for no list.
	list.hash = max(digest.Sum64(), 1)
	return list
}

// content is the counts of a contribution in the form in which they are sent. It is
// never changed.
type content struct {
	list    *tenantList
	indexed []byte
	named   Counts
}

// encode returns the counts with indexes into a list, which may be nil. The indexed
// form has one count for each tenant of the list, in order, as uvarints. A zero is
// followed by the number of further tenants that have no count.
func encode(list *tenantList, counts Counts) content {
	if list == nil {
		return content{named: maps.Clone(counts)}
	}
	dense := make([]uint64, len(list.sorted))
	encoded := content{list: list}
	for tenant, count := range counts {
		if index, listed := list.indexes[tenant]; listed {
			dense[index] = count
			continue
		}
		if encoded.named == nil {
			encoded.named = make(Counts)
		}
		encoded.named[tenant] = count
	}
	encoded.indexed = encodeDense(dense)
	return encoded
}

func encodeDense(dense []uint64) []byte {
	for len(dense) > 0 && dense[len(dense)-1] == 0 {
		dense = dense[:len(dense)-1]
	}
	encoded := make([]byte, 0, len(dense))
	for i := 0; i < len(dense); i++ {
		encoded = binary.AppendUvarint(encoded, dense[i])
		if dense[i] != 0 {
			continue
		}
		first := i
		for dense[i+1] == 0 {
			i++
		}
		encoded = binary.AppendUvarint(encoded, uint64(i-first))
	}
	return encoded
}

// decodeDense calls add for each count of the indexed form. It returns false if the
// form is malformed or has more counts than tenants.
func decodeDense(encoded []byte, tenants int, add func(index int, count uint64)) bool {
	for index := 0; len(encoded) > 0; index++ {
		count, length := binary.Uvarint(encoded)
		if length <= 0 || index >= tenants {
			return false
		}
		encoded = encoded[length:]
		if count > 0 {
			add(index, count)
			continue
		}
		skipped, length := binary.Uvarint(encoded)
		if length <= 0 || skipped >= uint64(tenants) {
			return false
		}
		encoded = encoded[length:]
		index += int(skipped)
	}
	return true
}

// valid reports whether the indexed form can be read and all counts are plausible.
func (c content) valid() bool {
	plausible := true
	for _, count := range c.named {
		plausible = plausible && count <= maxCount
	}
	if c.list == nil {
		return plausible && len(c.indexed) == 0
	}
	readable := decodeDense(c.indexed, len(c.list.sorted), func(_ int, count uint64) {
		plausible = plausible && count <= maxCount
	})
	return readable && plausible
}

func (c content) equal(other content) bool {
	return c.list == other.list && bytes.Equal(c.indexed, other.indexed) && maps.Equal(c.named, other.named)
}

// withNames returns the counts without indexes.
func (c content) withNames() content {
	var sum counting
	sum.add(c)
	return content{named: sum.counts()}
}

// total returns the sum over all tenants.
func (c content) total() uint64 {
	var total uint64
	for _, count := range c.named {
		total += count
	}
	if c.list != nil {
		decodeDense(c.indexed, len(c.list.sorted), func(_ int, count uint64) { total += count })
	}
	return total
}

// size returns the approximate number of bytes of the counts in a message.
func (c content) size() int {
	const countBytes = 4
	size := len(c.indexed)
	for tenant := range c.named {
		size += len(tenant) + countBytes
	}
	return size
}

// counting adds up contents. Counts with indexes into the same list are added by
// index, because that is several times faster than by name.
type counting struct {
	byList map[*tenantList][]uint64
	named  Counts
}

func (c *counting) add(added content) {
	if c.named == nil {
		c.named, c.byList = make(Counts), make(map[*tenantList][]uint64)
	}
	for tenant, count := range added.named {
		c.named[tenant] += count
	}
	if added.list == nil {
		return
	}
	dense, exists := c.byList[added.list]
	if !exists {
		dense = make([]uint64, len(added.list.sorted))
		c.byList[added.list] = dense
	}
	decodeDense(added.indexed, len(dense), func(index int, count uint64) { dense[index] += count })
}

// counts returns the sum.
func (c *counting) counts() Counts {
	counts := make(Counts, len(c.named))
	for tenant, count := range c.named {
		if count > 0 {
			counts[tenant] = count
		}
	}
	for list, dense := range c.byList {
		for index, count := range dense {
			if count > 0 {
				counts[list.sorted[index]] += count
			}
		}
	}
	return counts
}

// lists holds the last lists of tenants, the current one first.
type lists []*tenantList

func (l lists) current() *tenantList {
	if len(l) == 0 || len(l[0].sorted) == 0 {
		return nil
	}
	return l[0]
}

func (l lists) with(sorted []bulrushchute.Tenant) lists {
	added := newTenantList(sorted)
	next := lists{added}
	for _, list := range l {
		if list.hash == added.hash {
			next[0] = list
		} else if len(next) < listsKept {
			next = append(next, list)
		}
	}
	return next
}

func (l lists) find(hash uint64) (*tenantList, bool) {
	for _, list := range l {
		if list.hash == hash {
			return list, true
		}
	}
	return nil, false
}
