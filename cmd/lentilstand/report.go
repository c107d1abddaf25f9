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

// reportCommand generates reports from the audit records.
type reportCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"the operators' settings in JSON with comments"`

	Burn *reportBurn `arg:"subcommand:burn" help:"how fast services use up their error budgets"`
}

// reportBurn reports the burn rates of the services' error budgets.
type reportBurn struct {
	JSON bool      `arg:"--json" help:"print JSON lines"`
	HTML string    `arg:"--html" placeholder:"FILE" help:"write an HTML page with plots"`
	At   time.Time `arg:"--at" placeholder:"TIME" help:"end of the windows; defaults to now"`
}

func (c *reportCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	settings, err := prefs.LoadOperator(c.Settings)
	if err != nil {
		return reportInvalidInput(stderr, err)
	}
	if c.Burn == nil {
		fmt.Fprintln(stderr, "error: a subcommand of report is needed; see lentilstand report --help")
		return exitUsage
	}
	kv := platform.NewStore(settings.KeyValueAddress(), "operator", platform.WithTimeout(auditTimeout))
	defer kv.Close()
	rows, err := c.Burn.rows(ctx, kv)
	if err == nil {
		err = c.Burn.write(stdout, rows)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
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

func (c *reportBurn) write(stdout io.Writer, rows []burn.Row) error {
	if c.HTML != "" {
		if err := writeBurnPage(c.HTML, rows); err != nil {
			return err
		}
	}
	if c.JSON {
		return writeBurnJSON(stdout, rows)
	}
	return writeBurnTable(stdout, rows)
}

func writeBurnTable(stdout io.Writer, rows []burn.Row) error {
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tDATA CENTRE\tTEAM\tWINDOW\tREQUESTS\tREFUSED\tFAILED\tLATE FIRST\tLATE GAP\tBURN")
	for _, row := range rows {
		count := row.Count()
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\n", row.Service(),
			cmp.Or(row.DataCentre(), "all"), cmp.Or(row.Team(), "all"), row.Window(),
			count.Requests(), count.Refused(), count.Failed(), count.LateFirstByte(), count.LateTokenGap(), row.BurnRate())
	}
	return table.Flush()
}

// burnRecord is the JSON encoding of a burn.Row.
type burnRecord struct {
	Service       string  `json:"service"`
	DataCentre    string  `json:"data_centre,omitempty"`
	Team          string  `json:"team,omitempty"`
	WindowS       int64   `json:"window_s"`
	Requests      int     `json:"requests"`
	Refused       int     `json:"refused"`
	Failed        int     `json:"failed"`
	LateFirstByte int     `json:"late_first"`
	LateTokenGap  int     `json:"late_gap"`
	BurnRate      float64 `json:"burn"`
}

func writeBurnJSON(stdout io.Writer, rows []burn.Row) error {
	encoder := json.NewEncoder(stdout)
	for _, row := range rows {
		count := row.Count()
		err := encoder.Encode(burnRecord{
			Service:       row.Service(),
			DataCentre:    row.DataCentre(),
			Team:          row.Team(),
			WindowS:       int64(row.Window().Seconds()),
			Requests:      count.Requests(),
			Refused:       count.Refused(),
			Failed:        count.Failed(),
			LateFirstByte: count.LateFirstByte(),
			LateTokenGap:  count.LateTokenGap(),
			BurnRate:      row.BurnRate(),
		})
		if err != nil {
			return eris.Wrap(err, "can't write a row")
		}
	}
	return nil
}

// writeBurnPage writes the report as an HTML page. Its plot has one line per
// service: the burn rate over the length of the window.
func writeBurnPage(path string, rows []burn.Row) error {
	page := plots.NewPage("Service-level burn", "service", "data centre", "team", "window", "requests", "bad", "burn")
	var lines []plots.Line
	pointsByService := make(map[string]plotter.XYs)
	for _, row := range rows {
		page.AddRow(row.Service(), cmp.Or(row.DataCentre(), "all"), cmp.Or(row.Team(), "all"), row.Window().String(),
			fmt.Sprint(row.Count().Requests()), fmt.Sprint(row.Count().Bad()), fmt.Sprintf("%.2f", row.BurnRate()))
		if row.Team() == "" && row.DataCentre() == "" {
			pointsByService[row.Service()] = append(pointsByService[row.Service()], plotter.XY{X: row.Window().Hours(), Y: row.BurnRate()})
			if len(pointsByService[row.Service()]) == len(burn.Windows) {
				lines = append(lines, plots.NewLine(row.Service(), pointsByService[row.Service()]))
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
