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

// votersCommand shows who has a vote and removes the votes of dead processes.
type votersCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"the operators' settings in JSON with comments"`

	List   *votersList   `arg:"subcommand:list" help:"list the entries that have a vote"`
	Remove *votersRemove `arg:"subcommand:remove" help:"remove the votes of processes that are known to be dead"`
}

// votersList lists the voters.
type votersList struct{}

// votersRemove removes votes.
type votersRemove struct {
	Voters      []string `arg:"positional,required" help:"the voters as voters list shows them"`
	ConfirmDead bool     `arg:"--confirm-dead" help:"confirm that these processes are dead and won't wake up"`
}

func (c *votersCommand) run(ctx context.Context, out, errs io.Writer) int {
	settings, err := prefs.LoadOperator(c.Settings)
	if err != nil {
		return badSettings(errs, err)
	}
	kv := platform.NewStore(settings.KeyValueAddress(), "operator")
	defer kv.Close()
	switch {
	case c.List != nil:
		err = listVoters(ctx, kv, out)
	case c.Remove != nil && !c.Remove.ConfirmDead:
		fmt.Fprintln(errs, "error: a process that is only cut off could go on by an old version; add --confirm-dead if these are dead")
		return exitUsage
	case c.Remove != nil:
		err = removeVoters(ctx, kv, out, c.Remove.Voters)
	default:
		fmt.Fprintln(errs, "error: a subcommand of voters is needed; see lentilstand voters --help")
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	return exitOK
}

func listVoters(ctx context.Context, kv *platform.Store, out io.Writer) error {
	head, err := chain.ReadHead(ctx, kv)
	if err != nil {
		return err
	}
	for _, voter := range head.Voters() {
		fmt.Fprintln(out, voter)
	}
	return nil
}

// removeVoters writes the head again with fewer voters. It is safe only because
// the operator has confirmed that the removed ones are dead: no majority that
// holds an older view can be made of those that are left.
func removeVoters(ctx context.Context, kv *platform.Store, out io.Writer, dead []string) error {
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
	for _, voter := range dead {
		if !slices.Contains(head.Voters(), voter) {
			return eris.Errorf("%s has no vote; see lentilstand voters list", voter)
		}
	}
	rest := slices.DeleteFunc(slices.Clone(head.Voters()), func(v string) bool { return slices.Contains(dead, v) })
	term := max(head.Term(), pending.Term()) + 1
	mark := chain.NewRef(term, head.Number(), head.Hash(), rest, "operator")
	_, err = kv.Put(ctx, chain.HeadKey, mark.Encode(), head.Revision(), 0)
	switch {
	case eris.Is(err, store.ErrConflict):
		return eris.New("the head has changed meanwhile; nothing was removed")
	case eris.Is(err, store.ErrUncertain):
		return eris.New("unknown whether the votes were removed; see lentilstand voters list")
	case err != nil:
		return err
	}
	fmt.Fprintf(out, "removed %d votes; %d are left\n", len(dead), len(rest))
	return nil
}
