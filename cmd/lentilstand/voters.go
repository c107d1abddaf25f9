package main

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/store"
	"github.com/lentilstand/lentilstand/platform"
)

// votersCommand lists the voting entries and removes the votes of dead processes.
type votersCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"the operators' settings in JSON with comments"`

	List   *votersList   `arg:"subcommand:list" help:"list the voting entries"`
	Remove *votersRemove `arg:"subcommand:remove" help:"remove the votes of processes that are known to be dead"`
}

// votersList lists the voting entries.
type votersList struct{}

// votersRemove removes voters. It requires --confirm-dead.
type votersRemove struct {
	Voters      []string `arg:"positional,required" help:"voters as printed by voters list"`
	ConfirmDead bool     `arg:"--confirm-dead" help:"confirm that these processes are dead and will not resume"`
}

func (c *votersCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	settings, err := prefs.LoadOperator(c.Settings)
	if err != nil {
		return reportInvalidInput(stderr, err)
	}
	kv := platform.NewStore(settings.KeyValueAddress(), "operator")
	defer kv.Close()
	switch {
	case c.List != nil:
		err = listVoters(ctx, kv, stdout)
	case c.Remove != nil && !c.Remove.ConfirmDead:
		fmt.Fprintln(stderr, "error: a process that is only partitioned could keep serving an old version; add --confirm-dead if these processes are dead")
		return exitUsage
	case c.Remove != nil:
		err = removeVoters(ctx, kv, settings.EntryAddresses(), stdout, c.Remove.Voters)
	default:
		fmt.Fprintln(stderr, "error: a subcommand of voters is needed; see lentilstand voters --help")
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

func listVoters(ctx context.Context, kv *platform.Store, stdout io.Writer) error {
	head, err := chain.ReadHead(ctx, kv)
	if err != nil {
		return err
	}
	for _, voter := range head.Voters() {
		fmt.Fprintln(stdout, voter)
	}
	return nil
}

// removeVoters rewrites the head with fewer voters. It is safe only because the
// operator has confirmed that the removed voters are dead: no majority that holds
// an older view can be formed from the remaining voters.
func removeVoters(ctx context.Context, kv *platform.Store, entries []string, stdout io.Writer, removed []string) error {
	snapshot, err := kv.Read(ctx, chain.HeadKey, chain.PendingKey)
	if err != nil {
		return err
	}
	head, err := chain.RefIn(snapshot, chain.HeadKey)
	if err != nil {
		return err
	}
	pending, err := chain.RefIn(snapshot, chain.PendingKey)
	if err != nil {
		return err
	}
	for _, voter := range removed {
		if !slices.Contains(head.Voters(), voter) {
			return eris.Errorf("%s has no vote; see lentilstand voters list", voter)
		}
	}
	if anyEntry(ctx, entries, knowsNewer(head)) {
		return eris.New("the entries know a newer version than the store shows, and write it again; nothing was removed, try again")
	}
	remaining := slices.DeleteFunc(slices.Clone(head.Voters()), func(v string) bool { return slices.Contains(removed, v) })
	term := max(head.Term(), pending.Term()) + 1
	ref := chain.NewRef(term, head.Number(), head.Hash(), remaining, "operator")
	_, err = kv.Put(ctx, chain.HeadKey, ref.Encode(), head.Revision(), 0)
	switch {
	case eris.Is(err, store.ErrConflict):
		return eris.New("the head was changed concurrently; nothing was removed")
	case eris.Is(err, store.ErrUncertain):
		return eris.New("unknown whether the votes were removed; see lentilstand voters list")
	case err != nil:
		return err
	}
	fmt.Fprintf(stdout, "removed %d votes; %d are left\n", len(removed), len(remaining))
	return nil
}
