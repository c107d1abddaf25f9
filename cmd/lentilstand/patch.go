package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/platform"
)

// submitTimeout bounds the wait for an entry's answer to a patch.
const submitTimeout = 45 * time.Second

// patchCommand changes the numbered configuration and shows its history.
type patchCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"the operators' settings in JSON with comments"`

	Init   *patchInit   `arg:"subcommand:init" help:"make a whole configuration version 1"`
	Submit *patchSubmit `arg:"subcommand:submit" help:"bring a patch into force everywhere, or have it rejected"`
	Check  *patchCheck  `arg:"subcommand:check" help:"tell what submitting a patch would find"`
	Log    *patchLog    `arg:"subcommand:log" help:"list the versions, newest first"`
	Show   *patchShow   `arg:"subcommand:show" help:"show a version's configuration"`
	Diff   *patchDiff   `arg:"subcommand:diff" help:"show what differs between two versions"`
	Revert *patchRevert `arg:"subcommand:revert" help:"undo what a version changed, by a new patch"`
	Settle *patchSettle `arg:"subcommand:settle" help:"find out what became of a submitted patch"`
}

// patchInit makes a configuration the first version.
type patchInit struct {
	File string `arg:"positional,required" help:"the configuration in JSON with comments"`
}

// patchSubmit submits a patch.
type patchSubmit struct {
	File          string `arg:"positional,required" help:"the patch in JSON with comments"`
	Base          uint64 `arg:"--base" help:"the version that the patch changes, over the one in the file"`
	AllowUnserved bool   `arg:"--allow-unserved" help:"accept that a service is left without endpoints"`
}

// patchCheck checks a patch.
type patchCheck struct {
	File          string `arg:"positional,required" help:"the patch in JSON with comments"`
	Base          uint64 `arg:"--base" help:"the version that the patch changes, over the one in the file"`
	AllowUnserved bool   `arg:"--allow-unserved" help:"accept that a service is left without endpoints"`
}

// patchLog lists versions.
type patchLog struct {
	Last uint64 `arg:"--last" default:"20" help:"how many versions to list"`
}

// patchShow shows a version.
type patchShow struct {
	Number uint64 `arg:"positional,required" help:"the version's number"`
}

// patchDiff compares two versions.
type patchDiff struct {
	From uint64 `arg:"positional,required" help:"the older version's number"`
	To   uint64 `arg:"positional,required" help:"the newer version's number"`
}

// patchRevert undoes a version.
type patchRevert struct {
	Number uint64 `arg:"positional,required" help:"the number of the version to undo"`
	Who    string `arg:"--who,required" help:"who undoes it"`
	Why    string `arg:"--why" help:"why it is undone"`
}

// patchSettle finds out what became of a patch.
type patchSettle struct {
	Number uint64 `arg:"positional,required" help:"the number that the version would have"`
	Hash   string `arg:"positional,required" help:"the version's hash"`
}

// operator is what the operators' commands work with.
type operator struct {
	settings prefs.Operator
	kv       *platform.Store
	out      io.Writer
	errs     io.Writer
}

func (c *patchCommand) run(ctx context.Context, out, errs io.Writer) int {
	settings, err := prefs.LoadOperator(c.Settings)
	if err != nil {
		return badSettings(errs, err)
	}
	o := &operator{settings: settings, kv: platform.NewStore(settings.KeyValueAddress(), "operator"), out: out, errs: errs}
	defer o.kv.Close()
	switch {
	case c.Init != nil:
		return o.begin(ctx, c.Init)
	case c.Submit != nil:
		return o.submitFile(ctx, "/patches", c.Submit.File, c.Submit.Base, c.Submit.AllowUnserved)
	case c.Check != nil:
		return o.submitFile(ctx, "/patches/check", c.Check.File, c.Check.Base, c.Check.AllowUnserved)
	case c.Log != nil:
		return o.log(ctx, c.Log)
	case c.Show != nil:
		return o.show(ctx, c.Show)
	case c.Diff != nil:
		return o.diff(ctx, c.Diff)
	case c.Revert != nil:
		return o.revert(ctx, c.Revert)
	case c.Settle != nil:
		return o.settle(ctx, c.Settle)
	}
	fmt.Fprintln(errs, "error: a subcommand of patch is needed; see lentilstand patch --help")
	return exitUsage
}

func (o *operator) fail(err error) int {
	fmt.Fprintln(o.errs, err)
	return exitFailed
}

func (o *operator) begin(ctx context.Context, c *patchInit) int {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return badSettings(o.errs, err)
	}
	cfg, err := config.Parse(c.File, data)
	if err != nil {
		return badSettings(o.errs, err)
	}
	first := config.NewFirstVersion(cfg, time.Now())
	if err := chain.Init(ctx, o.kv, first, "operator"); err != nil {
		return o.fail(eris.Wrap(err, "version 1 wasn't made"))
	}
	fmt.Fprintf(o.out, "accepted as version 1 %s\n", first.Hash())
	return exitOK
}

func (o *operator) submitFile(ctx context.Context, path, file string, base uint64, allowUnserved bool) int {
	data, err := os.ReadFile(file)
	if err != nil {
		return badSettings(o.errs, err)
	}
	query := url.Values{"file": {file}}
	if base > 0 {
		query.Set("base", strconv.FormatUint(base, 10))
	}
	if allowUnserved {
		query.Set("allow_unserved", "true")
	}
	return o.submit(ctx, path+"?"+query.Encode(), data)
}

// submit sends a patch to the first entry that can be reached. Once an entry
// may have got it, no other is asked.
func (o *operator) submit(ctx context.Context, path string, patch []byte) int {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	for _, address := range o.settings.EntryAddresses() {
		submission, err := postPatch(ctx, address, path, patch)
		if isDial(err) {
			fmt.Fprintf(o.errs, "the entry at %s can't be reached\n", address)
			continue
		}
		if err != nil {
			fmt.Fprintf(o.out, "unknown: the entry at %s gave no answer: %v\nsettle it by: lentilstand patch log\n", address, err)
			return exitUnknown
		}
		return o.report(submission)
	}
	fmt.Fprintln(o.out, "rejected: no entry can be reached; nothing was changed")
	return exitFailed
}

func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func postPatch(ctx context.Context, address, path string, patch []byte) (entry.PatchResult, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(patch))
	if err != nil {
		return entry.PatchResult{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return entry.PatchResult{}, err
	}
	defer response.Body.Close()
	var submission entry.PatchResult
	if err := json.NewDecoder(response.Body).Decode(&submission); err != nil {
		return entry.PatchResult{}, err
	}
	return submission, nil
}

func (o *operator) report(submission entry.PatchResult) int {
	switch submission.Result {
	case entry.ResultAccepted:
		fmt.Fprintf(o.out, "accepted as version %d %s\n", submission.Version, submission.Hash)
		return exitOK
	case entry.ResultPassed:
		fmt.Fprintf(o.out, "passed: it would become version %d\n", submission.Version)
		return exitOK
	case entry.ResultConflict:
		fmt.Fprintf(o.out, "conflict: %s\n", submission.Message)
		printDifferences(o.out, submission.Changed)
		return exitConflict
	case entry.ResultUnknown:
		fmt.Fprintf(o.out, "unknown: %s\nsettle it by: %s\n", submission.Message, submission.Settle)
		return exitUnknown
	default:
		fmt.Fprintf(o.out, "rejected: %s\n", submission.Message)
		for _, finding := range submission.Findings {
			fmt.Fprintln(o.out, finding)
		}
		return exitFailed
	}
}

func printDifferences(out io.Writer, differences []entry.Difference) {
	for _, d := range differences {
		if d.Before != "" {
			fmt.Fprintf(out, "- %s %s\n", d.Kind, d.Before)
		}
		if d.After != "" {
			fmt.Fprintf(out, "+ %s %s\n", d.Kind, d.After)
		}
	}
}

func (o *operator) log(ctx context.Context, c *patchLog) int {
	head, err := chain.ReadHead(ctx, o.kv)
	if err != nil {
		return o.fail(err)
	}
	first := uint64(1)
	if head.Number() > c.Last {
		first = head.Number() - c.Last + 1
	}
	records, err := chain.History(ctx, o.kv, head, first)
	if err != nil {
		return o.fail(err)
	}
	for i := len(records) - 1; i >= 0; i-- {
		who, why := "-", "the first version"
		patch, err := records[i].Patch()
		if err != nil {
			return o.fail(err)
		}
		if patch != nil {
			who, why = patch.Author(), patch.Reason()
		}
		fmt.Fprintf(o.out, "%d %s %s %s: %s\n", records[i].Number(), records[i].Hash()[:12],
			records[i].CreatedAt().Format(time.RFC3339), who, why)
	}
	return exitOK
}

func (o *operator) version(ctx context.Context, number uint64) (*config.Version, error) {
	head, err := chain.ReadHead(ctx, o.kv)
	if err != nil {
		return nil, err
	}
	return chain.VersionAt(ctx, o.kv, head, number)
}

func (o *operator) show(ctx context.Context, c *patchShow) int {
	version, err := o.version(ctx, c.Number)
	if err != nil {
		return o.fail(err)
	}
	var text bytes.Buffer
	if err := json.Indent(&text, version.Config().Encode(), "", "  "); err != nil {
		return o.fail(err)
	}
	fmt.Fprintf(o.out, "// version %d %s of %s\n", version.Number(), version.Hash(), version.CreatedAt().Format(time.RFC3339))
	if len(version.PatchText()) > 0 {
		fmt.Fprintf(o.out, "// patch %s\n", version.PatchText())
	}
	fmt.Fprintln(o.out, text.String())
	return exitOK
}

func (o *operator) diff(ctx context.Context, c *patchDiff) int {
	from, err := o.version(ctx, c.From)
	if err != nil {
		return o.fail(err)
	}
	to, err := o.version(ctx, c.To)
	if err != nil {
		return o.fail(err)
	}
	printDifferences(o.out, entry.DiffConfigs(from.Config(), to.Config()))
	return exitOK
}

func (o *operator) revert(ctx context.Context, c *patchRevert) int {
	if c.Number < 2 {
		return o.fail(eris.New("version 1 can't be undone"))
	}
	head, err := chain.ReadHead(ctx, o.kv)
	if err != nil {
		return o.fail(err)
	}
	before, err := o.version(ctx, c.Number-1)
	if err != nil {
		return o.fail(err)
	}
	after, err := o.version(ctx, c.Number)
	if err != nil {
		return o.fail(err)
	}
	why := c.Why
	if why == "" {
		why = "undo version " + strconv.FormatUint(c.Number, 10)
	}
	patch := config.RevertPatch(before.Config(), after.Config(), head.Number(), c.Who, why)
	return o.submit(ctx, "/patches?file=revert", patch)
}

func (o *operator) settle(ctx context.Context, c *patchSettle) int {
	snapshot, err := o.kv.Read(ctx, chain.HeadKey, chain.PendingKey)
	if err != nil {
		return o.fail(err)
	}
	head, err := chain.RefIn(snapshot, chain.HeadKey)
	if err != nil {
		return o.fail(err)
	}
	pending, err := chain.RefIn(snapshot, chain.PendingKey)
	if err != nil {
		return o.fail(err)
	}
	if pending.Term() > head.Term() && pending.Hash() == c.Hash {
		fmt.Fprintln(o.out, "unknown: the version is staged and not decided yet; ask again")
		return exitUnknown
	}
	if head.Number() >= c.Number {
		records, err := chain.History(ctx, o.kv, head, c.Number)
		if err != nil {
			return o.fail(err)
		}
		if records[0].Hash() == c.Hash {
			fmt.Fprintf(o.out, "accepted as version %d %s\n", c.Number, c.Hash)
			return exitOK
		}
	}
	fmt.Fprintln(o.out, "rejected: the version is not in force and is not staged")
	return exitFailed
}
