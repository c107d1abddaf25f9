package review

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the sheet.
const (
	// maxBodyBytes is maxBodyBytes of the limits.
	maxBodyBytes = 4194304
	// memoryMB is memoryMb of an edge machine's processes, and linkBytes what its link carries
	// in a second, 1,000 Mbit.
	memoryMB  = 284
	linkBytes = 125_000_000
	// bookers is the number of consumers with a kept channel. The sheet's deployment has 91.
	bookers = 12
)

// uploaders is the number of consumers that send a long body at the same time.
const uploaders = 30

// memory returns the resident memory of a process in MiB, zero if it can't be read.
func memory(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, text, _ := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb / 1024
}

// runBodies has consumers send requests with bodies of the largest length that the
// configuration allows to an entry, as fast as its link carries them, while others send
// bookings on kept channels. As the platform does, it kills the entry once the entry's memory
// exceeds memoryMB. That is an end of the entry's own, and LOST is broken if more than three
// bookings at sound replicas end without an answer.
func runBodies(s *site) int {
	s.startStore()
	s.configure(route{name: "r-book", prefix: "/book/", kind: "non_idempotent", service: "bootshaus", timeoutMS: 800, aimMS: 300, attempts: 1})
	var replicas []*replica
	for i := range 3 {
		replicas = append(replicas, s.startReplica(&replica{id: fmt.Sprintf("b-%d", i+1), service: "bootshaus", work: 300 * time.Millisecond}))
	}
	entry := s.startEntry(1)
	time.Sleep(time.Second)
	highest, killed := 0, time.Time{}
	stopWatch := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			select {
			case <-stopWatch:
				return
			case <-time.After(5 * time.Millisecond):
			}
			used := memory(entry.command.Process.Pid)
			if highest = max(highest, used); used > memoryMB && killed.IsZero() {
				killed = time.Now()
				entry.kill()
				s.log("%s needs %d MiB of memory and is killed by the platform: memoryMb is %d", entry.name, used, memoryMB)
			}
		}
	})
	var mu sync.Mutex
	var bookings, uploads []*call
	end := time.Now().Add(8 * time.Second)
	var running sync.WaitGroup
	for range bookers {
		running.Go(func() {
			conn, err := dial(entry.front)
			if err != nil {
				return
			}
			defer conn.Close()
			for time.Now().Before(end) {
				c := s.send(conn, "POST", "/book/1", "key-1", "", bytes.Repeat([]byte("b"), 600), 1500*time.Millisecond)
				mu.Lock()
				bookings = append(bookings, c)
				mu.Unlock()
				if !c.complete {
					return
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	size := 600
	if trouble {
		size = maxBodyBytes
	}
	s.log("%d consumers send a body of %d bytes each", uploaders, size)
	for range uploaders {
		running.Go(func() {
			conn, err := dial(entry.front)
			if err != nil {
				return
			}
			defer conn.Close()
			c := s.send(&pacedConn{Conn: conn, bytesPerSecond: linkBytes / uploaders}, "POST", "/book/2", "key-2", "", bytes.Repeat([]byte("u"), size), 1500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			uploads = append(uploads, c)
		})
	}
	running.Wait()
	close(stopWatch)
	watching.Wait()
	for _, c := range uploads {
		s.log("upload %s: %s", c.id, c.outcome())
	}
	lost := 0
	for _, c := range bookings {
		if c.complete {
			continue
		}
		note := ""
		if found := findRun(replicas, c.id); found != nil {
			lost++
			note = fmt.Sprintf(", run by %s from %.3f s: LOST", found.replica, found.began.Sub(s.began).Seconds())
		}
		s.log("booking %s sent at %.3f s: %s%s", c.id, c.sentAt.Sub(s.began).Seconds(), c.outcome(), note)
	}
	s.log("highest memory %d MiB; bookings answered: %d; passed on and lost: %d", highest, len(bookings)-lost, lost)
	if !killed.IsZero() && lost > 3 {
		return broken
	}
	return held
}

// pacedConn writes no faster than bytesPerSecond.
type pacedConn struct {
	net.Conn
	bytesPerSecond int
}

func (c *pacedConn) Write(data []byte) (int, error) {
	const piece = 16 << 10
	start := time.Now()
	for written := 0; written < len(data); {
		n, err := c.Conn.Write(data[written:min(len(data), written+piece)])
		if written += n; err != nil {
			return written, err
		}
		time.Sleep(time.Until(start.Add(time.Duration(written) * time.Second / time.Duration(c.bytesPerSecond))))
	}
	return len(data), nil
}
