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

// submitTimeout limits the wait for an entry's response to a patch, over all
// entries that are tried.
const submitTimeout = 45 * time.Second

// patchCommand changes the versioned configuration and shows its history.
type patchCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"the operators' settings in JSON with comments"`

	Init   *patchInit   `arg:"subcommand:init" help:"store a complete configuration as version 1"`
	Submit *patchSubmit `arg:"subcommand:submit" help:"apply a patch on all entries, or have it rejected"`
	Check  *patchCheck  `arg:"subcommand:check" help:"validate a patch without applying it"`
	Log    *patchLog    `arg:"subcommand:log" help:"list the versions, newest first"`
	Show   *patchShow   `arg:"subcommand:show" help:"show a version's configuration"`
	Diff   *patchDiff   `arg:"subcommand:diff" help:"show the differences between two versions"`
	Revert *patchRevert `arg:"subcommand:revert" help:"undo the changes of a version with a new patch"`
	Settle *patchSettle `arg:"subcommand:settle" help:"determine the outcome of a submitted patch"`
}

// patchInit stores a configuration as version 1.
type patchInit struct {
	File string `arg:"positional,required" help:"the configuration in JSON with comments"`
}

// patchSubmit submits a patch to an entry, which applies or rejects it.
type patchSubmit struct {
	File          string `arg:"positional,required" help:"the patch in JSON with comments"`
	Base          uint64 `arg:"--base" help:"version that the patch is based on; overrides the one in the file"`
	AllowUnserved bool   `arg:"--allow-unserved" help:"allow the patch to leave a service without endpoints"`
}

// patchCheck has an entry validate a patch without applying it.
type patchCheck struct {
	File          string `arg:"positional,required" help:"the patch in JSON with comments"`
	Base          uint64 `arg:"--base" help:"version that the patch is based on; overrides the one in the file"`
	AllowUnserved bool   `arg:"--allow-unserved" help:"allow the patch to leave a service without endpoints"`
}

// patchLog lists the latest versions, newest first.
type patchLog struct {
	Last uint64 `arg:"--last" default:"20" help:"how many versions to list"`
}

// patchShow prints the configuration of a version and the patch that made it.
type patchShow struct {
	Number uint64 `arg:"positional,required" help:"the version's number"`
}

// patchDiff prints the differences between two versions.
type patchDiff struct {
	From uint64 `arg:"positional,required" help:"the older version's number"`
	To   uint64 `arg:"positional,required" help:"the newer version's number"`
}

// patchRevert undoes the changes of a version with a new patch.
type patchRevert struct {
	Number uint64 `arg:"positional,required" help:"the number of the version to undo"`
	Who    string `arg:"--who,required" help:"author of the new patch"`
	Why    string `arg:"--why" help:"reason for the new patch"`
}

// patchSettle determines the outcome of a patch whose submission ended with an
// unknown result.
type patchSettle struct {
	Number uint64 `arg:"positional,required" help:"number that the patch would have as a version"`
	Hash   string `arg:"positional,required" help:"hash of that version"`
}

// operatorSession holds the settings, the key-value client and the output streams
// that the patch subcommands share.
type operatorSession struct {
	settings prefs.Operator
	kv       *platform.Store
	stdout   io.Writer
	stderr   io.Writer
}

func (c *patchCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	settings, err := prefs.LoadOperator(c.Settings)
	if err != nil {
		return reportInvalidInput(stderr, err)
	}
	o := &operatorSession{settings: settings, kv: platform.NewStore(settings.KeyValueAddress(), "operator"), stdout: stdout, stderr: stderr}
	defer o.kv.Close()
	switch {
	case c.Init != nil:
		return o.initConfig(ctx, c.Init)
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
	fmt.Fprintln(stderr, "error: a subcommand of patch is needed; see lentilstand patch --help")
	return exitUsage
}

func (o *operatorSession) fail(err error) int {
	fmt.Fprintln(o.stderr, err)
	return exitFailed
}

func (o *operatorSession) initConfig(ctx context.Context, c *patchInit) int {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return reportInvalidInput(o.stderr, err)
	}
	cfg, err := config.Parse(c.File, data)
	if err != nil {
		return reportInvalidInput(o.stderr, err)
	}
	first := config.NewFirstVersion(cfg, time.Now())
	if err := chain.Init(ctx, o.kv, first, "operator"); err != nil {
		return o.fail(eris.Wrap(err, "version 1 wasn't made"))
	}
	fmt.Fprintf(o.stdout, "accepted as version 1 %s\n", first.Hash())
	return exitOK
}

func (o *operatorSession) submitFile(ctx context.Context, path, file string, base uint64, allowUnserved bool) int {
	data, err := os.ReadFile(file)
	if err != nil {
		return reportInvalidInput(o.stderr, err)
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

// submit sends a patch to the first entry that accepts a connection. Once an entry
// may have received the patch, submit tries no other, so that the patch is not
// submitted twice.
func (o *operatorSession) submit(ctx context.Context, path string, patch []byte) int {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	for _, address := range o.settings.EntryAddresses() {
		result, err := postPatch(ctx, address, path, patch)
		if isDialError(err) {
			fmt.Fprintf(o.stderr, "can't connect to the entry at %s\n", address)
			continue
		}
		if err != nil {
			fmt.Fprintf(o.stdout, "unknown: no valid response from the entry at %s: %v\nto check the outcome, run: lentilstand patch log\n", address, err)
			return exitUnknown
		}
		return o.report(result)
	}
	fmt.Fprintln(o.stdout, "rejected: no entry can be reached; nothing was changed")
	return exitFailed
}

// isDialError reports whether err occurred while connecting, before anything was
// sent.
func isDialError(err error) bool {
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
	var result entry.PatchResult
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return entry.PatchResult{}, err
	}
	return result, nil
}

func (o *operatorSession) report(result entry.PatchResult) int {
	switch result.Result {
	case entry.ResultAccepted:
		fmt.Fprintf(o.stdout, "accepted as version %d %s\n", result.Version, result.Hash)
		return exitOK
	case entry.ResultPassed:
		fmt.Fprintf(o.stdout, "passed: it would become version %d\n", result.Version)
		return exitOK
	case entry.ResultConflict:
		fmt.Fprintf(o.stdout, "conflict: %s\n", result.Message)
		printDifferences(o.stdout, result.Changed)
		return exitConflict
	case entry.ResultUnknown:
		fmt.Fprintf(o.stdout, "unknown: %s\nto check the outcome, run: %s\n", result.Message, result.Settle)
		return exitUnknown
	default:
		fmt.Fprintf(o.stdout, "rejected: %s\n", result.Message)
		for _, finding := range result.Findings {
			fmt.Fprintln(o.stdout, finding)
		}
		return exitFailed
	}
}

func printDifferences(stdout io.Writer, differences []entry.Difference) {
	for _, d := range differences {
		if d.Before != "" {
			fmt.Fprintf(stdout, "- %s %s\n", d.Kind, d.Before)
		}
		if d.After != "" {
			fmt.Fprintf(stdout, "+ %s %s\n", d.Kind, d.After)
		}
	}
}

func (o *operatorSession) log(ctx context.Context, c *patchLog) int {
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
		fmt.Fprintf(o.stdout, "%d %s %s %s: %s\n", records[i].Number(), records[i].Hash()[:12],
			records[i].CreatedAt().Format(time.RFC3339), who, why)
	}
	return exitOK
}

func (o *operatorSession) version(ctx context.Context, number uint64) (*config.Version, error) {
	head, err := chain.ReadHead(ctx, o.kv)
	if err != nil {
		return nil, err
	}
	return chain.VersionAt(ctx, o.kv, head, number)
}

func (o *operatorSession) show(ctx context.Context, c *patchShow) int {
	version, err := o.version(ctx, c.Number)
	if err != nil {
		return o.fail(err)
	}
	var text bytes.Buffer
	if err := json.Indent(&text, version.Config().Encode(), "", "  "); err != nil {
		return o.fail(err)
	}
	fmt.Fprintf(o.stdout, "// version %d %s of %s\n", version.Number(), version.Hash(), version.CreatedAt().Format(time.RFC3339))
	if len(version.PatchText()) > 0 {
		fmt.Fprintf(o.stdout, "// patch %s\n", version.PatchText())
	}
	fmt.Fprintln(o.stdout, text.String())
	return exitOK
}

func (o *operatorSession) diff(ctx context.Context, c *patchDiff) int {
	from, err := o.version(ctx, c.From)
	if err != nil {
		return o.fail(err)
	}
	to, err := o.version(ctx, c.To)
	if err != nil {
		return o.fail(err)
	}
	printDifferences(o.stdout, entry.DiffConfigs(from.Config(), to.Config()))
	return exitOK
}

func (o *operatorSession) revert(ctx context.Context, c *patchRevert) int {
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

func (o *operatorSession) settle(ctx context.Context, c *patchSettle) int {
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
		fmt.Fprintln(o.stdout, "unknown: the version is staged and not decided yet; ask again")
		return exitUnknown
	}
	if head.Number() >= c.Number {
		records, err := chain.History(ctx, o.kv, head, c.Number)
		if eris.Is(err, config.ErrChainBroken) {
			fmt.Fprintf(o.stdout, "unknown: the store has lost versions: %v\n", err)
			return exitUnknown
		}
		if err != nil {
			return o.fail(err)
		}
		if records[0].Hash() == c.Hash {
			fmt.Fprintf(o.stdout, "accepted as version %d %s\n", c.Number, c.Hash)
			return exitOK
		}
	}
	isNewer := knowsNewer(head)
	if anyEntry(ctx, o.settings.EntryAddresses(), func(status *entry.Status) bool { return isNewer(status) || status.Pending == c.Number }) {
		fmt.Fprintln(o.stdout, "unknown: the entries know a newer version than the store shows; ask again")
		return exitUnknown
	}
	fmt.Fprintln(o.stdout, "rejected: the version is not in force and is not staged")
	return exitFailed
}
