package table

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Header is the first line of a table in CSV.
var Header = []string{"service", "from", "to", "weight", "cap", "shift", "ramp"}

// Indices of the columns in Header.
const (
	colService = iota
	colFrom
	colTo
	colWeight
	colCap
	colShift
	colRamp
)

// MaxCSVBytes is the number of bytes after which ReadCSV stops reading.
const MaxCSVBytes = 1 << 20

// position is the position of a row in a text: its line and the columns of its cells, all
// counted from 1.
type position struct {
	line    int
	columns [7]int
}

// Sheet holds the rows of a table that were read from CSV, with their positions in the text.
type Sheet struct {
	Rows      []Row
	positions map[RowKey]position
}

// ReadCSV reads rows from CSV. It continues after a fault, unless the CSV syntax is invalid,
// and returns all faults together as Findings. An empty cell means weight 0, no cap,
// shift 100 or ramp 0.
func ReadCSV(r io.Reader) (*Sheet, error) {
	reader := csv.NewReader(io.LimitReader(r, MaxCSVBytes))
	reader.FieldsPerRecord = -1
	reader.TrimLeadingSpace = true
	reader.Comment = '#'
	p := &csvParser{reader: reader, sheet: &Sheet{positions: make(map[RowKey]position)}}
	p.run()
	return p.sheet, p.findings.Err()
}

type csvParser struct {
	reader   *csv.Reader
	sheet    *Sheet
	findings Findings
	current  position
}

func (p *csvParser) run() {
	p.header()
	for {
		record, err := p.reader.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.syntax(err)
			return
		}
		p.record(record)
	}
}

func (p *csvParser) header() {
	record, err := p.reader.Read()
	if errors.Is(err, io.EOF) {
		p.findings = append(p.findings, Finding{Line: 1, Column: 1, Message: "empty file: want the header " + strings.Join(Header, ",")})
		return
	}
	if err != nil {
		p.syntax(err)
		return
	}
	p.locate(record)
	for i, want := range Header {
		if i >= len(record) {
			p.add(len(record)-1, "header lacks "+want)
			continue
		}
		if got := strings.TrimSpace(strings.ToLower(record[i])); got != want {
			p.add(i, fmt.Sprintf("header is %q, want %q", got, want))
		}
	}
}

func (p *csvParser) syntax(err error) {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		p.findings = append(p.findings, Finding{Line: parse.Line, Column: parse.Column, Message: parse.Err.Error()})
		return
	}
	p.findings = append(p.findings, Finding{Message: err.Error()})
}

func (p *csvParser) locate(record []string) {
	p.current = position{}
	for i := range record {
		if i >= len(Header) {
			return
		}
		p.current.line, p.current.columns[i] = p.reader.FieldPos(i)
	}
}

func (p *csvParser) add(col int, message string) {
	field := ""
	column := 1
	if col >= 0 && col < len(Header) {
		field = Header[col]
		column = p.current.columns[col]
	}
	p.findings = append(p.findings, Finding{Line: p.current.line, Column: column, Field: field, Message: message})
}

func (p *csvParser) record(record []string) {
	p.locate(record)
	if len(record) != len(Header) {
		p.add(-1, fmt.Sprintf("%d cells, want %d", len(record), len(Header)))
		return
	}
	for i := range record {
		record[i] = strings.TrimSpace(record[i])
	}
	row := Row{
		Service: p.name(record, colService),
		From:    p.name(record, colFrom),
		To:      p.name(record, colTo),
		Weight:  p.number(record, colWeight, 0, MaxWeight),
		Cap:     p.number(record, colCap, NoCap, MaxCap),
		Shift:   p.number(record, colShift, FullShift, FullShift),
		Ramp:    p.duration(record, colRamp),
	}
	if first, twice := p.sheet.positions[row.Key()]; twice {
		p.add(colService, fmt.Sprintf("row %s is already on line %d", row.Key(), first.line))
		return
	}
	p.sheet.positions[row.Key()] = p.current
	p.sheet.Rows = append(p.sheet.Rows, row)
}

func (p *csvParser) name(record []string, col int) string {
	if record[col] == "" {
		p.add(col, "must not be empty")
	}
	return record[col]
}

func (p *csvParser) number(record []string, col, empty, maximum int) int {
	text := record[col]
	if text == "" {
		return empty
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		p.add(col, fmt.Sprintf("%q is not a whole number", text))
		return empty
	}
	if n < 0 || n > maximum {
		p.add(col, fmt.Sprintf("%d is not in 0 to %d", n, maximum))
		return empty
	}
	return n
}

func (p *csvParser) duration(record []string, col int) time.Duration {
	text := record[col]
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		p.add(col, fmt.Sprintf("%q is not a duration such as 5s", text))
		return 0
	}
	if d < 0 || d > MaxRamp {
		p.add(col, fmt.Sprintf("%s is not in 0 to %s", d, MaxRamp))
		return 0
	}
	return d
}

// WriteCSV writes rows in the CSV format that ReadCSV reads.
func WriteCSV(w io.Writer, rows []Row) error {
	out := csv.NewWriter(w)
	err := out.Write(Header)
	if err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	for _, r := range rows {
		err := out.Write(r.record())
		if err != nil {
			return fmt.Errorf("write table: %w", err)
		}
	}
	out.Flush()
	return out.Error()
}

func (r Row) record() []string {
	limit := ""
	if r.Cap != NoCap {
		limit = strconv.Itoa(r.Cap)
	}
	return []string{
		r.Service,
		r.From,
		r.To,
		strconv.Itoa(r.Weight),
		limit,
		strconv.Itoa(r.Shift),
		r.Ramp.String(),
	}
}

// SetCell returns row with the cell field set to the value of text. The field is one of weight,
// cap, shift and ramp. If the text is invalid, SetCell returns Findings.
func SetCell(row Row, field, text string) (Row, error) {
	record := row.record()
	col := -1
	for i := colWeight; i <= colRamp; i++ {
		if Header[i] == field {
			col = i
		}
	}
	if col < 0 {
		return row, fmt.Errorf("table: no cell %q: want weight, cap, shift or ramp", field)
	}
	record[col] = text
	p := &csvParser{sheet: &Sheet{positions: make(map[RowKey]position)}}
	row.Weight = p.number(record, colWeight, 0, MaxWeight)
	row.Cap = p.number(record, colCap, NoCap, MaxCap)
	row.Shift = p.number(record, colShift, FullShift, FullShift)
	row.Ramp = p.duration(record, colRamp)
	for i := range p.findings {
		p.findings[i].Column = 0
	}
	return row, p.findings.Err()
}
