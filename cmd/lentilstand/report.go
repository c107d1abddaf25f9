package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot/plotter"

	"github.com/lentilstand/lentilstand/internal/plots"
	"github.com/lentilstand/lentilstand/internal/prefs"
	"github.com/lentilstand/lentilstand/pkg/audit"
	"github.com/lentilstand/lentilstand/pkg/burn"
	"github.com/lentilstand/lentilstand/pkg/chain"
	"github.com/lentilstand/lentilstand/platform"
)

// reportCommand makes reports.
type reportCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"the operators' settings in JSON with comments"`

	Burn *reportBurn `arg:"subcommand:burn" help:"how fast services use up what their objectives allow"`
}

// reportBurn is the report on service-level burn.
type reportBurn struct {
	JSON bool      `arg:"--json" help:"print JSON lines"`
	HTML string    `arg:"--html" placeholder:"FILE" help:"write a page with plots"`
	At   time.Time `arg:"--at" placeholder:"TIME" help:"the end of the windows; now if it isn't given"`
}

func (c *reportCommand) run(ctx context.Context, out, errs io.Writer) int {
	settings, err := prefs.LoadOperator(c.Settings)
	if err != nil {
		return badSettings(errs, err)
	}
	if c.Burn == nil {
		fmt.Fprintln(errs, "error: a subcommand of report is needed; see lentilstand report --help")
		return exitUsage
	}
	kv := platform.NewStore(settings.KeyValueAddress(), "operator", platform.WithTimeout(auditTimeout))
	defer kv.Close()
	rows, err := c.Burn.rows(ctx, kv)
	if err == nil {
		err = c.Burn.write(out, rows)
	}
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	return exitOK
}

func (c *reportBurn) rows(ctx context.Context, kv *platform.Store) ([]burn.Row, error) {
	now := c.At
	if now.IsZero() {
		now = time.Now()
	}
	head, err := chain.ReadHead(ctx, kv)
	if err != nil {
		return nil, err
	}
	version, err := chain.Load(ctx, kv, head, nil)
	if err != nil {
		return nil, err
	}
	longest := burn.Windows[len(burn.Windows)-1]
	records, err := audit.Records(ctx, kv, audit.NewTimeRange(now.Add(-longest), now))
	if err != nil {
		return nil, err
	}
	return burn.Compute(version.Config(), records, now), nil
}

func (c *reportBurn) write(out io.Writer, rows []burn.Row) error {
	if c.HTML != "" {
		if err := writePage(c.HTML, rows); err != nil {
			return err
		}
	}
	if c.JSON {
		return writeBurnJSON(out, rows)
	}
	return writeBurnTable(out, rows)
}

func writeBurnTable(out io.Writer, rows []burn.Row) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tDATA CENTRE\tTEAM\tWINDOW\tREQUESTS\tREFUSED\tFAILED\tLATE FIRST\tLATE GAP\tBURN")
	for _, row := range rows {
		count := row.Count()
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\n", row.Service(),
			cmp.Or(row.DataCentre(), "all"), cmp.Or(row.Team(), "all"), row.Window(),
			count.Requests(), count.Refused(), count.Failed(), count.LateFirstByte(), count.LateTokenGap(), row.BurnRate())
	}
	return table.Flush()
}

// wireBurn is the JSON shape of a row.
type wireBurn struct {
	Service    string  `json:"service"`
	DataCentre string  `json:"data_centre,omitempty"`
	Team       string  `json:"team,omitempty"`
	WindowS    int64   `json:"window_s"`
	Requests   int     `json:"requests"`
	Refused    int     `json:"refused"`
	Failed     int     `json:"failed"`
	LateFirst  int     `json:"late_first"`
	LateGap    int     `json:"late_gap"`
	Burn       float64 `json:"burn"`
}

func writeBurnJSON(out io.Writer, rows []burn.Row) error {
	encoder := json.NewEncoder(out)
	for _, row := range rows {
		count := row.Count()
		err := encoder.Encode(wireBurn{
			Service:    row.Service(),
			DataCentre: row.DataCentre(),
			Team:       row.Team(),
			WindowS:    int64(row.Window().Seconds()),
			Requests:   count.Requests(),
			Refused:    count.Refused(),
			Failed:     count.Failed(),
			LateFirst:  count.LateFirstByte(),
			LateGap:    count.LateTokenGap(),
			Burn:       row.BurnRate(),
		})
		if err != nil {
			return eris.Wrap(err, "can't write a row")
		}
	}
	return nil
}

// writePage writes the report as HTML, with a line a service over the windows.
func writePage(path string, rows []burn.Row) error {
	page := plots.NewPage("Service-level burn", "service", "data centre", "team", "window", "requests", "bad", "burn")
	var lines []plots.Line
	byService := make(map[string]plotter.XYs)
	for _, row := range rows {
		page.AddRow(row.Service(), cmp.Or(row.DataCentre(), "all"), cmp.Or(row.Team(), "all"), row.Window().String(),
			fmt.Sprint(row.Count().Requests()), fmt.Sprint(row.Count().Bad()), fmt.Sprintf("%.2f", row.BurnRate()))
		if row.Team() == "" && row.DataCentre() == "" {
			byService[row.Service()] = append(byService[row.Service()], plotter.XY{X: row.Window().Hours(), Y: row.BurnRate()})
			if len(byService[row.Service()]) == len(burn.Windows) {
				lines = append(lines, plots.NewLine(row.Service(), byService[row.Service()]))
			}
		}
	}
	plot, err := plots.LinePlot("Burn by window", "window in hours", "burn", lines...)
	if err != nil {
		return err
	}
	page.AddPlot(plot)
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "can't write the page")
	}
	err = page.Write(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
