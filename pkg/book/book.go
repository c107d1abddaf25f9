package book

import (
	"slices"
	"time"
)

// maxBookings limits the bookings of a Book. An entry that refuses 100 requests per second has
// up to 270, as callers wait for at most 2.7 s.
const maxBookings = 1024

// booking is the time at which a caller is told to come back.
type booking struct {
	at      time.Time
	urgency int
	caller  uint64
}

// Book holds the bookings of an entry for a service, in order of their times. The zero value
// is empty. It is not safe for concurrent use.
type Book struct {
	bookings []booking
}

// Len returns the number of bookings that haven't lapsed.
func (b *Book) Len(now time.Time) int {
	b.dropLapsed(now)
	return len(b.bookings)
}

// Booked returns the time that is booked for a caller, false if there is none.
func (b *Book) Booked(caller uint64, now time.Time) (at time.Time, ok bool) {
	b.dropLapsed(now)
	i := slices.IndexFunc(b.bookings, func(other booking) bool { return other.caller == caller })
	if i < 0 {
		return time.Time{}, false
	}
	return b.bookings[i].at, true
}

// Reserve books the first time from earliest on by which the callers of at least the same
// urgency (0 is the most urgent) that are booked from earliest on can be served at perSecond.
// Less urgent callers, who were told their times before, don't delay more urgent ones. It
// returns false, and books nothing, if that time is after latest, or if there are too many
// bookings.
func (b *Book) Reserve(caller uint64, urgency int, perSecond float64, earliest, latest, now time.Time) (at time.Time, ok bool) {
	b.dropLapsed(now)
	if perSecond <= 0 || len(b.bookings) >= maxBookings {
		return time.Time{}, false
	}
	at, interval := earliest, time.Duration(float64(time.Second)/perSecond)
	for _, other := range b.bookings {
		if other.urgency > urgency || other.at.Before(earliest) {
			continue
		}
		// A booking that was made at a slightly different rate takes the time next to it.
		if other.at.Sub(at) > interval/2 {
			break
		}
		if at = at.Add(interval); at.After(latest) {
			return time.Time{}, false
		}
	}
	if at.After(latest) {
		return time.Time{}, false
	}
	index, _ := slices.BinarySearchFunc(b.bookings, at, func(other booking, at time.Time) int {
		if other.at.After(at) {
			return 1
		}
		return -1
	})
	b.bookings = slices.Insert(b.bookings, index, booking{at: at, urgency: urgency, caller: caller})
	return at, true
}

// dropLapsed removes the bookings whose time has passed.
func (b *Book) dropLapsed(now time.Time) {
	lapsed := 0
	for lapsed < len(b.bookings) && !b.bookings[lapsed].at.After(now) {
		lapsed++
	}
	b.bookings = slices.Delete(b.bookings, 0, lapsed)
}
