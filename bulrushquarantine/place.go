package bulrushquarantine

import (
	"github.com/cespare/xxhash/v2"

	"bulrushchute.example/bulrushchute"
)

// returnTime is the time after a crash in which the backend server is expected to be
// back. Until then, trials spare the servers that are needed meanwhile.
const returnTime = 5 * bulrushchute.Second

// Server is a backend server of the service of a suspect request.
type Server struct {
	Instance   bulrushchute.InstanceID
	DataCentre bulrushchute.DataCentre
	// Up is set if the server takes requests.
	Up bool
}

// Place returns the server at which a suspect request is tried, or false if none may
// be risked now. Nodes that know the same servers choose the same one, so that a
// request that comes to many nodes at once is tried at one server at a time.
//
// At least half of the servers stay up in each data centre that has two or more, and
// one server of the service, whatever becomes of the trial. After the crash of a trial,
// which makes another one likely, half of the service's servers stay up. If that is
// still not possible a while after the last crash, any server is risked: the others
// will not be back soon.
func Place(now bulrushchute.Millis, content Content, assessment Assessment, servers []Server) (bulrushchute.InstanceID, bool) {
	total := make(map[bulrushchute.DataCentre]int)
	up := make(map[bulrushchute.DataCentre]int)
	allUp := 0
	for _, server := range servers {
		total[server.DataCentre]++
		if server.Up {
			up[server.DataCentre]++
			allUp++
		}
	}
	enoughLeft := allUp > 1 && (assessment.Trials == 0 || 2*(allUp-1) >= len(servers))
	instance, found := choose(content, servers, func(server Server) bool {
		dc := server.DataCentre
		return enoughLeft && (total[dc] < 2 || 2*(up[dc]-1) >= total[dc])
	})
	if found || len(servers) > 1 && now < assessment.LastCrashAt+returnTime {
		return instance, found
	}
	return choose(content, servers, func(Server) bool { return true })
}

// choose returns the server that is up and acceptable and whose hash with the content
// is the greatest.
func choose(content Content, servers []Server, acceptable func(Server) bool) (bulrushchute.InstanceID, bool) {
	var chosen bulrushchute.InstanceID
	greatest := uint64(0)
	for _, server := range servers {
		if !server.Up || !acceptable(server) {
			continue
		}
		hash := xxhash.Sum64(append(content[:], server.Instance...))
		if chosen == "" || hash > greatest {
			chosen, greatest = server.Instance, hash
		}
	}
	return chosen, chosen != ""
}
