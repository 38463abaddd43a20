package gateway

import "hash/maphash"

// minIDRetention is the time in seconds for which an id is remembered at least.
const minIDRetention = 10.0

// recentIDs remembers the correlation ids of requests that were forwarded and have ended. A request that comes again with
// the same id could otherwise be executed twice. At its capacity, the set forgets the ids that it has remembered the
// longest, but none before minIDRetention: hasRoom reports then that no further request may be begun. The ids are kept as
// 64-bit hashes with a random seed, since clients choose the length of an id.
type recentIDs struct {
	capacity int
	seed     maphash.Seed
	hashes   map[uint64]struct{}
	ended    idQueue // the ids of hashes, in the order of their ends
}

// newRecentIDs returns an empty set for at most capacity ids.
func newRecentIDs(capacity int) *recentIDs {
	return &recentIDs{capacity: capacity, seed: maphash.MakeSeed(), hashes: map[uint64]struct{}{}}
}

// has reports whether an id is remembered.
func (r *recentIDs) has(id string) bool {
	_, remembered := r.hashes[maphash.String(r.seed, id)]
	return remembered
}

// hasRoom reports whether the ids of a number of open requests and of one further request can be remembered when the
// requests end. The time now is in seconds of the caller's clock.
func (r *recentIDs) hasRoom(openRequests int, now float64) bool {
	for len(r.hashes)+openRequests >= r.capacity {
		if r.ended.length() == 0 || now-r.ended.first().endedAt < minIDRetention {
			return false
		}
		r.forgetFirst()
	}
	return true
}

// add remembers the id of a request that has ended. The time now is in seconds of the caller's clock.
func (r *recentIDs) add(id string, now float64) {
	hash := maphash.String(r.seed, id)
	if _, remembered := r.hashes[hash]; remembered {
		return
	}
	r.hashes[hash] = struct{}{}
	r.ended.push(endedID{hash, now})
}

// forgetFirst forgets the id that has been remembered the longest.
func (r *recentIDs) forgetFirst() {
	delete(r.hashes, r.ended.first().hash)
	r.ended.pop()
}

// endedID is an id in an idQueue.
type endedID struct {
	hash    uint64
	endedAt float64 // time at which the request ended, in seconds of the loop's clock
}

// idQueue is a queue of ids. The zero value is empty.
type idQueue struct {
	ids  []endedID
	head int // index of the first id; the ids before it have left the queue
}

func (q *idQueue) length() int { return len(q.ids) - q.head }

func (q *idQueue) first() endedID { return q.ids[q.head] }

func (q *idQueue) push(id endedID) { q.ids = append(q.ids, id) }

// pop removes the first id. It moves the others to the front once they are at most half of the slice.
func (q *idQueue) pop() {
	q.head++
	if q.head >= q.length() {
		q.ids = q.ids[:copy(q.ids, q.ids[q.head:])]
		q.head = 0
	}
}
