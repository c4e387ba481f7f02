package commander

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"bronzedrift.example/bronzedrift/internal/checker"
	"bronzedrift.example/bronzedrift/internal/loader"
)

// Form is a form of a configuration that `config check` accepts.
type Form struct {
	Name string
	// Check decodes a text and returns its findings. The configuration is nil if the text
	// cannot be decoded.
	Check func(text []byte) (*checker.Configuration, []checker.Finding)
}

// ownForm names the form that the daemons' operators' interface accepts.
const ownForm = "own"

// maxOwnConfigBytes is the limit of PUT /v1/config, which cuts off a longer text.
const maxOwnConfigBytes = 4 << 20

// checkFlags are the flags of `bronzedrift config check`.
type checkFlags struct {
	operatorsClient
	forms   []Form
	form    string
	against string
	format  string
}

// checkJSON is the JSON output of `bronzedrift config check`.
type checkJSON struct {
	File        string           `json:"file"`
	Result      string           `json:"result"`
	Errors      []findingJSON    `json:"errors"`
	Findings    []findingJSON    `json:"findings"`
	Against     *againstJSON     `json:"against,omitempty"`
	Differences []differenceJSON `json:"differences"`
}

type findingJSON struct {
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

// againstJSON states what the file was compared with. Version is 0 if no configuration
// is in force.
type againstJSON struct {
	Source  string `json:"source"`
	Version uint64 `json:"version"`
}

type differenceJSON struct {
	Change string                `json:"change"`
	Kind   string                `json:"kind"`
	Name   string                `json:"name"`
	Line   int                   `json:"line,omitempty"`
	Fields []fieldDifferenceJSON `json:"fields,omitempty"`
}

type fieldDifferenceJSON struct {
	Key  string `json:"key"`
	From string `json:"from"`
	To   string `json:"to"`
}

func newConfigCheckCommand(forms []Form) *cobra.Command {
	f := &checkFlags{forms: append([]Form{{Name: ownForm, Check: checkOwnForm}}, forms...)}
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration and show how it differs from the one in force; changes nothing",
		Example: "  bronzedrift config check config.jsonc --operators 127.0.0.1:7101\n" +
			"  bronzedrift config check routes.json --form platform --against routes-in-force.json",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return f.run(c, args[0]) },
	}
	names := make([]string, len(f.forms))
	for i, form := range f.forms {
		names[i] = form.Name
	}
	c.Flags().StringVar(&f.form, "form", ownForm, "form of the configuration: "+strings.Join(names, " or "))
	c.Flags().StringVar(&f.format, "format", "text", "output format: text or json")
	c.Flags().StringVar(&f.against, "against", "", "file with the configuration to compare with")
	c.Flags().StringVar(&f.addressList, "operators", "", "operators' address of a daemon, to compare with the version in force")
	c.Flags().StringVar(&f.tokenFile, "token-file", "", "file that contains the operators' token")
	return c
}

func (f *checkFlags) run(c *cobra.Command, file string) error {
	i := slices.IndexFunc(f.forms, func(form Form) bool { return form.Name == f.form })
	switch {
	case i < 0:
		return &ExitError{ExitInvalidInput, fmt.Sprintf("--form: %q is not known", f.form)}
	case f.format != "text" && f.format != "json":
		return &ExitError{ExitInvalidInput, fmt.Sprintf("--format: %q is not text or json", f.format)}
	case f.against != "" && f.addressList != "":
		return &ExitError{ExitInvalidInput, "--against and --operators exclude each other"}
	case f.addressList != "" && f.form != ownForm:
		return &ExitError{ExitInvalidInput, "--operators compares the own form only; save the configuration in force and give it with --against"}
	}
	text, err := readInput(file)
	if err != nil {
		return &loader.SettingError{File: file, Fault: err.Error()}
	}
	report := &checkJSON{File: file, Errors: []findingJSON{}, Findings: []findingJSON{}, Differences: []differenceJSON{}}
	config, findings := f.forms[i].Check(text)
	report.add(findings)
	var compareErr error
	if len(report.Errors) == 0 {
		compareErr = f.compare(c, &f.forms[i], config, report)
	}
	if err := f.print(c, report); err != nil {
		return err
	}
	if compareErr != nil {
		return compareErr
	}
	return report.exitError()
}

// compare adds the differences from the configuration that the flags name, if any.
func (f *checkFlags) compare(c *cobra.Command, form *Form, config *checker.Configuration, report *checkJSON) error {
	var text []byte
	against := &againstJSON{}
	switch {
	case f.against != "":
		content, err := readInput(f.against)
		if err != nil {
			return &loader.SettingError{File: f.against, Fault: err.Error()}
		}
		text, against.Source = content, f.against
	case f.addressList != "":
		inForce, err := f.readConfig(c.Context(), "")
		if err != nil {
			return err
		}
		text, against.Source, against.Version = []byte(inForce.Config), f.addresses[0].String(), inForce.Version
	default:
		return nil
	}
	other := &checker.Configuration{}
	// Daemons report version 0 before the first change.
	if f.against != "" || against.Version > 0 {
		var findings []checker.Finding
		other, findings = form.Check(text)
		if checker.HasErrors(findings) {
			first := slices.IndexFunc(findings, func(finding checker.Finding) bool { return finding.IsError })
			return &loader.SettingError{
				File: against.Source, Line: findings[first].Line, Key: findings[first].Key,
				Fault: findings[first].Message + "; it cannot be compared with",
			}
		}
	}
	if other.Version > 0 {
		against.Version = other.Version
	}
	report.Against = against
	report.add(checker.CheckVersion(config, other.Version))
	for _, d := range checker.Compare(other.Entries, config.Entries) {
		difference := differenceJSON{Change: string(d.Change), Kind: d.Kind, Name: d.Name, Line: d.Line}
		for _, field := range d.Fields {
			difference.Fields = append(difference.Fields, fieldDifferenceJSON(field))
		}
		report.Differences = append(report.Differences, difference)
	}
	return nil
}

// add adds findings, ordered by line together with those added before.
func (r *checkJSON) add(findings []checker.Finding) {
	for _, f := range findings {
		encoded := findingJSON{Line: f.Line, Key: f.Key, Code: string(f.Code), Message: f.Message}
		if f.IsError {
			r.Errors = append(r.Errors, encoded)
			continue
		}
		r.Findings = append(r.Findings, encoded)
	}
	slices.SortStableFunc(r.Findings, func(a, b findingJSON) int { return a.Line - b.Line })
	r.Result = "clean"
	if len(r.Findings) > 0 {
		r.Result = "findings"
	}
	if len(r.Errors) > 0 {
		r.Result = "errors"
	}
}

func (r *checkJSON) exitError() error {
	switch r.Result {
	case "errors":
		return &ExitError{ExitInvalidInput, fmt.Sprintf("%s: errors: %d, findings: %d", r.File, len(r.Errors), len(r.Findings))}
	case "findings":
		return &ExitError{ExitFindings, fmt.Sprintf("%s: findings: %d", r.File, len(r.Findings))}
	}
	return nil
}

func (f *checkFlags) print(c *cobra.Command, r *checkJSON) error {
	if f.format == "json" {
		return printJSON(c, r)
	}
	out := c.OutOrStdout()
	printFindings(out, r.File, "error", r.Errors)
	printFindings(out, r.File, "finding", r.Findings)
	if r.Result == "clean" {
		_, _ = fmt.Fprintf(out, "%s: clean\n", r.File)
	}
	if r.Against == nil {
		return nil
	}
	_, _ = fmt.Fprintf(out, "differences from %s, version %d: %d\n", r.Against.Source, r.Against.Version, len(r.Differences))
	for _, d := range r.Differences {
		_, _ = fmt.Fprintf(out, "%s %s %q\n", d.Change, d.Kind, d.Name)
		for _, field := range d.Fields {
			_, _ = fmt.Fprintf(out, "  %s: %s -> %s\n", field.Key, formatValue(field.From), formatValue(field.To))
		}
	}
	return nil
}

func printFindings(out io.Writer, file, severity string, findings []findingJSON) {
	for _, finding := range findings {
		location := file
		if finding.Line > 0 {
			location += ":" + strconv.Itoa(finding.Line)
		}
		message := finding.Message
		if finding.Key != "" {
			message = finding.Key + ": " + message
		}
		_, _ = fmt.Fprintf(out, "%s: %s: %s [%s]\n", location, severity, message, finding.Code)
	}
}

func formatValue(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// checkOwnForm checks a configuration of the project's own form. Its errors are those
// of loader.ParseConfiguration.
func checkOwnForm(text []byte) (*checker.Configuration, []checker.Finding) {
	if len(text) > maxOwnConfigBytes {
		return nil, []checker.Finding{{
			Code: checker.Refused, IsError: true,
			Message: fmt.Sprintf("has %d bytes, more than the limit of %d", len(text), maxOwnConfigBytes),
		}}
	}
	parsed, err := loader.ParseConfiguration("", text)
	if err != nil {
		return nil, settingFindings(err)
	}
	locator := checker.NewLocator(text)
	c := &checker.Configuration{}
	for i, t := range parsed.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		team := checker.Team{Name: t.Name}
		e := checker.Entry{Position: locator.At(path), Kind: "team", Name: t.Name}
		for _, limit := range []struct {
			key   string
			value float64
		}{{"quota.starts-per-second", t.StartsPerSecond}, {"quota.tasks-in-flight", float64(t.TasksInFlight)}} {
			key := path + "." + limit.key
			if locator.Has(key) {
				team.Limits = append(team.Limits, checker.Limit{Value: limit.value, At: locator.At(key)})
			}
			if limit.value != 0 {
				e.Fields = append(e.Fields, checker.Field{Key: limit.key, Value: strconv.FormatFloat(limit.value, 'f', -1, 64)})
			}
		}
		c.Teams, c.Entries = append(c.Teams, team), append(c.Entries, e)
	}
	for i, s := range parsed.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.Services = append(c.Services, checker.Service{Name: s.Name, NameAt: locator.At(path + ".name")})
		c.Entries = append(c.Entries, checker.Entry{
			Position: locator.At(path), Kind: "service", Name: s.Name,
			Fields: []checker.Field{{Key: "timeout", Value: s.Timeout.String()}},
		})
	}
	return c, checker.Check(c)
}

// settingFindings returns a finding for each of the joined errors of the loader.
func settingFindings(err error) []checker.Finding {
	errs := []error{err}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		errs = joined.Unwrap()
	}
	findings := make([]checker.Finding, 0, len(errs))
	for _, err := range errs {
		finding := checker.Finding{Code: checker.Refused, Message: err.Error(), IsError: true}
		var settingErr *loader.SettingError
		if errors.As(err, &settingErr) {
			finding.Position = checker.Position{Line: settingErr.Line, Key: settingErr.Key}
			finding.Message = settingErr.Fault
		}
		if finding.Line == 0 {
			finding.Line = syntaxErrorLine(finding.Message)
		}
		findings = append(findings, finding)
	}
	checker.Sort(findings)
	// The loader reports the third entry of a name once for each of the others.
	return slices.Compact(findings)
}

// syntaxErrorLine returns the line that the loader's message about a syntax error states.
func syntaxErrorLine(message string) int {
	line := 0
	if _, rest, ok := strings.Cut(message, ": line "); ok {
		_, _ = fmt.Sscanf(rest, "%d", &line)
	}
	return line
}
