package group

import (
	"context"
	"database/sql"
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/pgwire"
)

// PostgreSQL's object identifiers (OIDs) of the column and parameter types that the stand-in supports.
const (
	oidBool   = 16
	oidInt8   = 20
	oidInt2   = 21
	oidInt4   = 23
	oidText   = 25
	oidFloat4 = 700
	oidFloat8 = 701
)

type field struct {
	name string
	oid  uint32
}

// resultSet is a complete result. It is kept in memory because the tables of the stand-in are small.
type resultSet struct {
	fields []field
	rows   [][]any
	tag    string
}

// queryEngine runs a statement in the engine and reads all of its rows.
func (b *backend) queryEngine(ctx context.Context, text string, args []any, info pgwire.StatementInfo) (*resultSet, error) {
	rows, err := b.engineConn.QueryContext(ctx, text, args...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	r := &resultSet{}
	if r.fields, err = columnFields(rows); err != nil {
		return nil, err
	}
	for rows.Next() {
		row := make([]any, len(r.fields))
		dest := make([]any, len(row))
		for i := range row {
			dest[i] = &row[i]
		}
		if err := rows.Scan(dest...); err != nil {
			return nil, err
		}
		r.rows = append(r.rows, row)
	}
	if err := rows.Err(); err != nil {
		return nil, err
	}
	r.inferColumnTypes()
	n := int64(len(r.rows))
	if info.Kind == caller.KindWrite && len(r.fields) == 0 {
		_ = rows.Close()
		if err := b.engineConn.QueryRowContext(ctx, "SELECT changes()").Scan(&n); err != nil {
			return nil, err
		}
	}
	r.tag = commandTag(info.Verb, n)
	return r, nil
}

func columnFields(rows *sql.Rows) ([]field, error) {
	ts, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	fs := make([]field, 0, len(ts))
	for _, t := range ts {
		fs = append(fs, field{t.Name(), declaredOID(t.DatabaseTypeName())})
	}
	return fs, nil
}

// declaredOID returns the OID for a declared column type, or 0 if the column has none.
func declaredOID(declared string) uint32 {
	d := strings.ToUpper(declared)
	switch {
	case d == "":
		return 0
	case strings.Contains(d, "INT"), strings.Contains(d, "SERIAL"):
		return oidInt8
	case strings.Contains(d, "REAL"), strings.Contains(d, "FLOAT"), strings.Contains(d, "DOUBLE"), strings.Contains(d, "NUMERIC"):
		return oidFloat8
	default:
		return oidText
	}
}

// inferColumnTypes takes the types of computed columns from the first row, as the engine declares none for them.
func (r *resultSet) inferColumnTypes() {
	for i, f := range r.fields {
		if f.oid != 0 {
			continue
		}
		r.fields[i].oid = oidText
		if len(r.rows) == 0 {
			continue
		}
		switch r.rows[0][i].(type) {
		case int64:
			r.fields[i].oid = oidInt8
		case float64:
			r.fields[i].oid = oidFloat8
		}
	}
}

func (r *resultSet) rowDescription(formats []int16) []pgproto3.FieldDescription {
	ds := make([]pgproto3.FieldDescription, 0, len(r.fields))
	for i, f := range r.fields {
		size := int16(-1)
		if f.oid != oidText {
			size = 8
		}
		ds = append(ds, pgproto3.FieldDescription{
			Name: []byte(f.name), DataTypeOID: f.oid, DataTypeSize: size, TypeModifier: -1, Format: formatAt(formats, i),
		})
	}
	return ds
}

// formatAt returns the format of column or parameter i. As in the protocol, a single format applies to all of them, and none
// means text.
func formatAt(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return 0
	}
}

func (r *resultSet) encode(row []any, formats []int16) [][]byte {
	out := make([][]byte, len(row))
	for i, v := range row {
		if v == nil {
			continue
		}
		if formatAt(formats, i) == 1 {
			out[i] = encodeBinary(v, r.fields[i].oid)
		} else {
			out[i] = []byte(encodeText(v))
		}
	}
	return out
}

func encodeText(v any) string {
	switch v := v.(type) {
	case []byte:
		return string(v)
	case string:
		return v
	case int64:
		return strconv.FormatInt(v, 10)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case bool:
		return strconv.FormatBool(v)[:1]
	default:
		return fmt.Sprint(v)
	}
}

func encodeBinary(v any, oid uint32) []byte {
	switch oid {
	case oidInt8:
		n, _ := strconv.ParseInt(encodeText(v), 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case oidFloat8:
		x, _ := strconv.ParseFloat(encodeText(v), 64)
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(x))
	default:
		return []byte(encodeText(v))
	}
}

// decodeArgs converts bound parameters to values of the engine.
func decodeArgs(m *pgproto3.Bind, oids []uint32) ([]any, error) {
	args := make([]any, 0, len(m.Parameters))
	for i, p := range m.Parameters {
		if p == nil {
			args = append(args, nil)
			continue
		}
		oid := uint32(0)
		if i < len(oids) {
			oid = oids[i]
		}
		v, err := decodeArg(p, oid, formatAt(m.ParameterFormatCodes, i))
		if err != nil {
			return nil, err
		}
		args = append(args, v)
	}
	return args, nil
}

func decodeArg(p []byte, oid uint32, format int16) (any, error) {
	if format == 0 {
		return decodeText(string(p), oid), nil
	}
	switch {
	case oid == oidInt8 && len(p) == 8:
		return int64(binary.BigEndian.Uint64(p)), nil
	case oid == oidInt4 && len(p) == 4:
		return int64(int32(binary.BigEndian.Uint32(p))), nil
	case oid == oidInt2 && len(p) == 2:
		return int64(int16(binary.BigEndian.Uint16(p))), nil
	case oid == oidFloat8 && len(p) == 8:
		return math.Float64frombits(binary.BigEndian.Uint64(p)), nil
	case oid == oidFloat4 && len(p) == 4:
		return float64(math.Float32frombits(binary.BigEndian.Uint32(p))), nil
	case oid == oidBool && len(p) == 1:
		return int64(p[0]), nil
	case oid == oidText, oid == 0, oid == 1043:
		return string(p), nil
	default:
		return nil, &pgError{"22P03", fmt.Sprintf("binary parameters of type %d are not supported", oid)}
	}
}

func decodeText(s string, oid uint32) any {
	switch oid {
	case oidInt8, oidInt4, oidInt2:
		if n, err := strconv.ParseInt(s, 10, 64); err == nil {
			return n
		}
	case oidFloat8, oidFloat4:
		if x, err := strconv.ParseFloat(s, 64); err == nil {
			return x
		}
	case 0:
		if n, err := strconv.ParseInt(s, 10, 64); err == nil && strconv.FormatInt(n, 10) == s {
			return n
		}
	}
	return s
}

// describe sends the parameter and column types of a statement, or the column types of a portal.
func (b *backend) describe(ctx context.Context, m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p, ok := b.portals[m.Name]
		if !ok {
			return &pgError{"34000", fmt.Sprintf("portal %q does not exist", m.Name)}
		}
		return b.describeColumns(ctx, p.statement.sql, p.args, p.formats)
	}
	s, ok := b.statements[m.Name]
	if !ok {
		return &pgError{"26000", fmt.Sprintf("prepared statement %q does not exist", m.Name)}
	}
	oids := append([]uint32(nil), s.oids...)
	for len(oids) < highestParameter(s.sql) {
		oids = append(oids, 0)
	}
	b.wire.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	return b.describeColumns(ctx, s.sql, make([]any, len(oids)), nil)
}

func (b *backend) describeColumns(ctx context.Context, text string, args []any, formats []int16) error {
	info := statementCache.Parse(text)
	var r *resultSet
	var err error
	switch {
	case b.isControl || b.server.group.settings.Engine == EngineNull:
		r = textResult("one", "1", "")
	case info.Kind == caller.KindRead && info.Verb == "select" && !info.Empty:
		r, err = b.queryEngine(ctx, text, args, info)
	case strings.Contains(strings.ToLower(text), "returning"):
		r, err = b.describeReturning(ctx, text, info)
	}
	if err != nil {
		return err
	}
	if r == nil || len(r.fields) == 0 {
		b.wire.Send(&pgproto3.NoData{})
		return nil
	}
	b.wire.Send(&pgproto3.RowDescription{Fields: r.rowDescription(formats)})
	return nil
}

// describeReturning determines the columns of a RETURNING clause without running the statement.
func (b *backend) describeReturning(ctx context.Context, text string, info pgwire.StatementInfo) (*resultSet, error) {
	i := strings.LastIndex(strings.ToLower(text), "returning")
	columns := strings.Trim(text[i+len("returning"):], " ;\n\t")
	if len(info.Tables) == 0 {
		return nil, nil
	}
	return b.queryEngine(
		ctx, fmt.Sprintf("SELECT %s FROM %s LIMIT 0", columns, info.Tables[0]), nil, pgwire.StatementInfo{Verb: "select"},
	)
}
