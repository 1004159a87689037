package pgwire

import (
	"slices"
	"strings"

	pg "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// readOnlyFunctions lists functions that do not write, in alphabetical order for the binary search. A query that calls any other
// function counts as a write.
var readOnlyFunctions = []string{
	"abs", "age", "array_agg", "avg", "bool_and", "bool_or", "ceil", "char_length", "coalesce", "concat", "concat_ws",
	"count", "current_database", "current_schema", "current_setting", "current_user", "date_part", "date_trunc",
	"dense_rank", "exp", "extract", "first_value", "floor", "format", "format_type", "generate_series", "greatest",
	"json_agg", "jsonb_agg", "lag", "last_value", "lead", "least", "length", "ln", "lower", "ltrim", "max", "md5", "min",
	"mod", "now", "ntile", "nullif", "obj_description", "percentile_cont", "percentile_disc", "pg_backend_pid",
	"pg_get_expr", "pg_get_indexdef", "pg_get_userbyid", "pg_sleep", "pg_table_is_visible", "position", "pow", "power",
	"rank", "regexp_replace", "repeat", "replace", "round", "row_number", "rtrim", "sign", "split_part", "sqrt",
	"string_agg", "strpos", "substr", "substring", "sum", "to_char", "to_date", "to_json", "to_number", "to_timestamp",
	"trim", "trunc", "upper", "version",
}

// treeWalker collects the tables of a query and checks whether any part of the query could write.
type treeWalker struct {
	tables []string
	writes bool
}

func (w *treeWalker) query(s *pg.SelectStmt) {
	w.message(s.ProtoReflect())
}

func (w *treeWalker) message(m protoreflect.Message) {
	switch v := m.Interface().(type) {
	case *pg.RangeVar:
		if !slices.Contains(w.tables, v.Relname) {
			w.tables = append(w.tables, v.Relname)
		}
	case *pg.FuncCall:
		w.call(v)
	case *pg.InsertStmt, *pg.UpdateStmt, *pg.DeleteStmt, *pg.MergeStmt, *pg.LockingClause, *pg.IntoClause:
		w.writes = true
	}
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		w.field(f, v)
		return true
	})
}

func (w *treeWalker) field(f protoreflect.FieldDescriptor, v protoreflect.Value) {
	switch {
	case f.Kind() != protoreflect.MessageKind:
	case f.IsList():
		for i := range v.List().Len() {
			w.message(v.List().Get(i).Message())
		}
	case !f.IsMap():
		w.message(v.Message())
	}
}

func (w *treeWalker) call(c *pg.FuncCall) {
	if len(c.Funcname) == 0 {
		return
	}
	name := strings.ToLower(c.Funcname[len(c.Funcname)-1].GetString_().GetSval())
	if _, found := slices.BinarySearch(readOnlyFunctions, name); !found {
		w.writes = true
	}
}
