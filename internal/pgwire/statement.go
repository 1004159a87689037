package pgwire

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	pg "github.com/pganalyze/pg_query_go/v6"

	"buckthornport.example/buckthornport/internal/caller"
)

// StatementInfo is what a text of SQL turned out to be, apart from any session.
type StatementInfo struct {
	Kind    caller.Kind
	Verb    string
	Tables  []string
	Unsupported string
	// Setting and Value are those of a single SET statement.
	Setting string
	Value   string
	SetsSession   bool
	// Local says that the proxy answers the statement itself, with Tag.
	Local bool
	Tag   string
	Empty bool
}

// ProxySettingPrefix is the prefix of the settings that the proxy keeps for itself.
const ProxySettingPrefix = "buckthornport."

const maxCachedForms = 20_000

// StatementCache remembers what texts of SQL turned out to be, because parsing costs more than a look-up.
type StatementCache struct {
	mu    sync.RWMutex
	forms map[string]StatementInfo
}

// NewStatementCache returns an empty memory.
func NewStatementCache() *StatementCache {
	return &StatementCache{forms: map[string]StatementInfo{}}
}

// Parse returns what a text is.
func (f *StatementCache) Parse(sql string) StatementInfo {
	f.mu.RLock()
	form, ok := f.forms[sql]
	f.mu.RUnlock()
	if ok {
		return form
	}
	form = ParseSQL(sql)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.forms) >= maxCachedForms {
		f.forms = map[string]StatementInfo{}
	}
	f.forms[strings.Clone(sql)] = form
	return form
}

// ParseSQL parses a text by PostgreSQL's own grammar.
func ParseSQL(sql string) StatementInfo {
	var tree *pg.ParseResult
	var err error
	if tree, err = pg.Parse(sql); err != nil {
		// The server gets the text all the same and explains what is wrong; a write is the careful guess.
		return StatementInfo{Kind: caller.KindWrite, Verb: "other"}
	}
	if len(tree.Stmts) == 0 {
		return StatementInfo{Kind: caller.KindRead, Verb: "select", Empty: true}
	}
	form := formOf(tree.Stmts[0].Stmt)
	for _, s := range tree.Stmts[1:] {
		form = joinForms(form, formOf(s.Stmt))
	}
	return form
}

// joinForms is the form of two statements sent as one text, which the server runs as one transaction.
func joinForms(a, b StatementInfo) StatementInfo {
	switch {
	case a.Unsupported != "":
		return a
	case b.Unsupported != "":
		return b
	case changesTransaction(a.Kind) || changesTransaction(b.Kind) || a.Local || b.Local:
		return StatementInfo{Unsupported: "transaction control and settings must be sent as statements of their own"}
	}
	out := StatementInfo{Kind: max(a.Kind, b.Kind), Verb: a.Verb, Tables: append(slices.Clone(a.Tables), b.Tables...)}
	if a.Kind == caller.KindRead {
		out.Verb = b.Verb
	}
	return out
}

func changesTransaction(k caller.Kind) bool {
	return k == caller.KindBegin || k == caller.KindCommit || k == caller.KindRollback
}

func formOf(n *pg.Node) StatementInfo {
	switch s := n.Node.(type) {
	case *pg.Node_SelectStmt:
		return selectForm(s.SelectStmt)
	case *pg.Node_InsertStmt:
		return writeForm("insert", s.InsertStmt.Relation)
	case *pg.Node_UpdateStmt:
		return writeForm("update", s.UpdateStmt.Relation)
	case *pg.Node_DeleteStmt:
		return writeForm("delete", s.DeleteStmt.Relation)
	case *pg.Node_MergeStmt:
		return writeForm("merge", s.MergeStmt.Relation)
	case *pg.Node_CallStmt, *pg.Node_DoStmt:
		return StatementInfo{Kind: caller.KindWrite, Verb: "call"}
	case *pg.Node_TransactionStmt:
		return transactionForm(s.TransactionStmt)
	case *pg.Node_VariableSetStmt:
		return settingForm(s.VariableSetStmt)
	case *pg.Node_VariableShowStmt:
		return showForm(s.VariableShowStmt)
	case *pg.Node_ExplainStmt:
		return StatementInfo{Kind: caller.KindRead, Verb: "other"}
	default:
		return otherForm(n)
	}
}

// otherForm treats definitions as writes, and refuses what cannot survive the pooling of connections.
func otherForm(n *pg.Node) StatementInfo {
	switch s := n.Node.(type) {
	case *pg.Node_CopyStmt:
		return StatementInfo{Unsupported: "COPY is not supported through this proxy, use INSERT or SELECT"}
	case *pg.Node_ListenStmt, *pg.Node_NotifyStmt, *pg.Node_UnlistenStmt:
		return StatementInfo{Unsupported: "LISTEN and NOTIFY are not supported, since connections are shared"}
	case *pg.Node_PrepareStmt, *pg.Node_ExecuteStmt:
		return StatementInfo{Unsupported: "PREPARE and EXECUTE are not supported as SQL, use your driver's prepared statements"}
	case *pg.Node_DeallocateStmt:
		return StatementInfo{Kind: caller.KindRead, Verb: "other", Local: true, Tag: "DEALLOCATE"}
	case *pg.Node_DiscardStmt:
		return StatementInfo{Kind: caller.KindRead, Verb: "other", Local: true, Tag: "DISCARD ALL"}
	case *pg.Node_CreateStmt:
		if s.CreateStmt.Relation.GetRelpersistence() == "t" {
			return StatementInfo{Unsupported: "temporary tables are not supported, since connections are shared"}
		}
		return writeForm("other", s.CreateStmt.Relation)
	case *pg.Node_DeclareCursorStmt:
		return StatementInfo{Kind: caller.KindRead, Verb: "select"}
	default:
		return StatementInfo{Kind: caller.KindWrite, Verb: "other"}
	}
}

func writeForm(verb string, r *pg.RangeVar) StatementInfo {
	return StatementInfo{Kind: caller.KindWrite, Verb: verb, Tables: []string{r.GetRelname()}}
}

func transactionForm(s *pg.TransactionStmt) StatementInfo {
	switch s.Kind {
	case pg.TransactionStmtKind_TRANS_STMT_BEGIN, pg.TransactionStmtKind_TRANS_STMT_START:
		return StatementInfo{Kind: caller.KindBegin, Verb: "other"}
	case pg.TransactionStmtKind_TRANS_STMT_COMMIT:
		return StatementInfo{Kind: caller.KindCommit, Verb: "other"}
	case pg.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return StatementInfo{Kind: caller.KindRollback, Verb: "other"}
	case pg.TransactionStmtKind_TRANS_STMT_SAVEPOINT, pg.TransactionStmtKind_TRANS_STMT_RELEASE,
		pg.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		return StatementInfo{Kind: caller.KindRead, Verb: "other"}
	default:
		return StatementInfo{Unsupported: "prepared transactions are not supported"}
	}
}

func settingForm(s *pg.VariableSetStmt) StatementInfo {
	f := StatementInfo{Kind: caller.KindRead, Verb: "other", SetsSession: true, Setting: strings.ToLower(s.Name)}
	if len(s.Args) == 1 {
		f.Value = constant(s.Args[0])
	}
	if strings.HasPrefix(f.Setting, ProxySettingPrefix) {
		f.Local = true
		f.Tag = "SET"
	}
	if s.IsLocal || s.Kind == pg.VariableSetKind_VAR_SET_MULTI {
		f.SetsSession = false
	}
	return f
}

func showForm(s *pg.VariableShowStmt) StatementInfo {
	f := StatementInfo{Kind: caller.KindRead, Verb: "other"}
	if name := strings.ToLower(s.Name); strings.HasPrefix(name, ProxySettingPrefix) {
		f.Setting = name
		f.Local = true
		f.Tag = "SHOW"
	}
	return f
}

func constant(n *pg.Node) string {
	c := n.GetAConst()
	if c.GetSval() != nil {
		return c.GetSval().Sval
	}
	if c.GetIval() != nil {
		return fmt.Sprint(c.GetIval().Ival)
	}
	return ""
}

func selectForm(s *pg.SelectStmt) StatementInfo {
	w := walker{}
	w.query(s)
	f := StatementInfo{Kind: caller.KindRead, Verb: "select", Tables: w.tables}
	if w.writes {
		f.Kind = caller.KindWrite
	}
	return f
}
