package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/pkg/chain"
)

// statusTimeout limits the wait for the status of one entry.
const statusTimeout = 3 * time.Second

// statusCommand prints one line per entry, then the members and endpoints as the
// entry with the newest version reports them.
type statusCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"the operators' settings in JSON with comments"`
	JSON     bool   `arg:"--json" help:"print JSON"`
}

func (c *statusCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	settings, err := prefs.LoadOperator(c.Settings)
	if err != nil {
		return reportInvalidInput(stderr, err)
	}
	code := exitOK
	var newest *entry.Status
	for _, address := range settings.EntryAddresses() {
		status, err := fetchStatus(ctx, address)
		if err != nil {
			fmt.Fprintf(stderr, "can't get the status of the entry at %s: %v\n", address, err)
			code = exitFailed
			continue
		}
		if c.JSON {
			encoded, _ := json.Marshal(status)
			fmt.Fprintln(stdout, string(encoded))
		} else {
			fmt.Fprintf(stdout, "entry %s in %s: version %d, %s, read %d ms ago, %d active%s\n", status.Name, status.DataCentre,
				status.Version, status.ServeState, status.AgeMS, status.Active, pendingNote(status))
		}
		if newest == nil || status.Version > newest.Version {
			newest = status
		}
	}
	if newest == nil {
		return exitFailed
	}
	if !c.JSON {
		printStatus(stdout, newest)
	}
	return code
}

func fetchStatus(ctx context.Context, address string) (*entry.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var status entry.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return nil, err
	}
	return &status, nil
}

// anyEntry reports whether match is true for the status of an entry that can be reached.
func anyEntry(ctx context.Context, addresses []string, match func(*entry.Status) bool) bool {
	return slices.ContainsFunc(addresses, func(address string) bool {
		status, err := fetchStatus(ctx, address)
		return err == nil && match(status)
	})
}

// knowsNewer returns a function that reports whether an entry knows a newer version than the
// head that the store shows. The store has then recovered from a copy, and the entries write
// the version again.
func knowsNewer(head chain.Ref) func(*entry.Status) bool {
	return func(status *entry.Status) bool { return status.Version > head.Number() }
}

func pendingNote(status *entry.Status) string {
	if status.Pending == 0 {
		return ""
	}
	return fmt.Sprintf(", version %d staged", status.Pending)
}

// printStatus prints the members and endpoints that an entry reports.
func printStatus(stdout io.Writer, status *entry.Status) {
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\nMEMBER\tDATA CENTRE\tADDRESS\tVERSION\tNOTES\n")
	for _, m := range status.Members {
		var notes []string
		if m.Behind {
			notes = append(notes, "behind")
		}
		if m.Leaving {
			notes = append(notes, "leaving")
		}
		if !m.Voter {
			notes = append(notes, "no vote yet")
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", m.Name, m.DataCentre, m.Address, m.Version, strings.Join(notes, ", "))
	}
	fmt.Fprintf(table, "\nENDPOINT\tSERVICE\tDATA CENTRE\tBUSY\tCAPACITY\tVERSION\tNOTES\n")
	for _, e := range status.Endpoints {
		note := ""
		switch {
		case !e.Connected:
			note = "not connected"
		case !e.Usable:
			note = "takes no requests"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", e.Name, e.Service, e.DataCentre, e.Busy, e.Capacity, e.Version, note)
	}
	_ = table.Flush()
}
