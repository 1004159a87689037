package pgwire

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	pg "github.com/pganalyze/pg_query_go/v6"

	"buckthornport.example/buckthornport/internal/caller"
)

// StatementInfo describes an SQL text of one or more statements. It does not depend on a session.
type StatementInfo struct {
	Kind   caller.Kind
	Verb   string
	Tables []string
	// Unsupported is the error message for a text that the proxy does not support, or empty.
	Unsupported string
	// Setting is the name in a single SET statement, or in a SHOW of one of the proxy's own settings. Value is the new value, if the
	// statement has exactly one.
	Setting string
	Value   string
	// SetsSession is set for a single SET statement that lasts until the end of the session.
	SetsSession bool
	// Local is set if the proxy answers the statement itself, with the command tag Tag.
	Local bool
	Tag   string
	// Empty is set for a text without statements.
	Empty bool
}

// ProxySettingPrefix is the prefix of the proxy's own settings, which are not sent to servers.
const ProxySettingPrefix = "buckthornport."

const (
	maxCachedStatements = 20_000
	// maxCachedBytes bounds the texts in the cache, and maxCachedText the length of one. Longer texts, such as those with literals,
	// are rarely sent twice, and parsing takes several times their size: only one is parsed at a time.
	maxCachedBytes = 4 << 20
	maxCachedText  = 32 << 10
)

// StatementCache caches the results of ParseSQL, because parsing costs more than a lookup. It is safe for concurrent use.
type StatementCache struct {
	mu    sync.RWMutex
	infos map[string]StatementInfo
	bytes int
	// longTexts is held while a long text is parsed.
	longTexts sync.Mutex
}

// NewStatementCache returns an empty cache.
func NewStatementCache() *StatementCache {
	return &StatementCache{infos: map[string]StatementInfo{}}
}

// Parse returns the result of ParseSQL for a text, from the cache if it is there. A full cache is emptied before it takes another
// text. Long texts are not cached.
func (c *StatementCache) Parse(sql string) StatementInfo {
	if len(sql) > maxCachedText {
		c.longTexts.Lock()
		defer c.longTexts.Unlock()
		return ParseSQL(sql)
	}
	c.mu.RLock()
	info, ok := c.infos[sql]
	c.mu.RUnlock()
	if ok {
		return info
	}
	info = ParseSQL(sql)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.infos) >= maxCachedStatements || c.bytes+len(sql) > maxCachedBytes {
		c.infos, c.bytes = map[string]StatementInfo{}, 0
	}
	c.bytes += len(sql)
	c.infos[strings.Clone(sql)] = info
	return info
}

// ParseSQL parses a text with PostgreSQL's own grammar. A text that cannot be parsed counts as a write.
func ParseSQL(sql string) StatementInfo {
	var tree *pg.ParseResult
	var err error
	if tree, err = pg.Parse(sql); err != nil {
		// The text is still sent to the server, which returns the syntax error. To treat it as a write is the safe choice.
		return StatementInfo{Kind: caller.KindWrite, Verb: "other"}
	}
	if len(tree.Stmts) == 0 {
		return StatementInfo{Kind: caller.KindRead, Verb: "select", Empty: true}
	}
	info := statementInfo(tree.Stmts[0].Stmt)
	for _, s := range tree.Stmts[1:] {
		info = combineInfo(info, statementInfo(s.Stmt))
	}
	return info
}

// combineInfo returns the info of two statements in one text, which the server runs as one transaction.
func combineInfo(a, b StatementInfo) StatementInfo {
	switch {
	case a.Unsupported != "":
		return a
	case b.Unsupported != "":
		return b
	case isTransactionControl(a.Kind) || isTransactionControl(b.Kind) || a.Local || b.Local:
		return StatementInfo{Unsupported: "transaction control and settings must be sent as statements of their own"}
	}
	out := StatementInfo{Kind: max(a.Kind, b.Kind), Verb: a.Verb, Tables: append(slices.Clone(a.Tables), b.Tables...)}
	if a.Kind == caller.KindRead {
		out.Verb = b.Verb
	}
	return out
}

func isTransactionControl(k caller.Kind) bool {
	return k == caller.KindBegin || k == caller.KindCommit || k == caller.KindRollback
}

func statementInfo(n *pg.Node) StatementInfo {
	switch s := n.Node.(type) {
	case *pg.Node_SelectStmt:
		return selectInfo(s.SelectStmt)
	case *pg.Node_InsertStmt:
		return writeInfo("insert", s.InsertStmt.Relation)
	case *pg.Node_UpdateStmt:
		return writeInfo("update", s.UpdateStmt.Relation)
	case *pg.Node_DeleteStmt:
		return writeInfo("delete", s.DeleteStmt.Relation)
	case *pg.Node_MergeStmt:
		return writeInfo("merge", s.MergeStmt.Relation)
	case *pg.Node_CallStmt, *pg.Node_DoStmt:
		return StatementInfo{Kind: caller.KindWrite, Verb: "call"}
	case *pg.Node_TransactionStmt:
		return transactionInfo(s.TransactionStmt)
	case *pg.Node_VariableSetStmt:
		return setInfo(s.VariableSetStmt)
	case *pg.Node_VariableShowStmt:
		return showInfo(s.VariableShowStmt)
	case *pg.Node_ExplainStmt:
		return StatementInfo{Kind: caller.KindRead, Verb: "other"}
	default:
		return otherInfo(n)
	}
}

// otherInfo returns the info of the remaining statements. It treats definitions as writes. Statements that need the same server
// connection throughout a session are not supported, because connections are pooled.
func otherInfo(n *pg.Node) StatementInfo {
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
		return writeInfo("other", s.CreateStmt.Relation)
	case *pg.Node_DeclareCursorStmt:
		return StatementInfo{Kind: caller.KindRead, Verb: "select"}
	default:
		return StatementInfo{Kind: caller.KindWrite, Verb: "other"}
	}
}

func writeInfo(verb string, r *pg.RangeVar) StatementInfo {
	return StatementInfo{Kind: caller.KindWrite, Verb: verb, Tables: []string{r.GetRelname()}}
}

func transactionInfo(s *pg.TransactionStmt) StatementInfo {
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

func setInfo(s *pg.VariableSetStmt) StatementInfo {
	info := StatementInfo{Kind: caller.KindRead, Verb: "other", SetsSession: true, Setting: strings.ToLower(s.Name)}
	if len(s.Args) == 1 {
		info.Value = constantText(s.Args[0])
	}
	if strings.HasPrefix(info.Setting, ProxySettingPrefix) {
		info.Local = true
		info.Tag = "SET"
	}
	if s.IsLocal || s.Kind == pg.VariableSetKind_VAR_SET_MULTI {
		info.SetsSession = false
	}
	return info
}

func showInfo(s *pg.VariableShowStmt) StatementInfo {
	info := StatementInfo{Kind: caller.KindRead, Verb: "other"}
	if name := strings.ToLower(s.Name); strings.HasPrefix(name, ProxySettingPrefix) {
		info.Setting = name
		info.Local = true
		info.Tag = "SHOW"
	}
	return info
}

// constantText returns the text of a string or integer constant, or "" for another node.
func constantText(n *pg.Node) string {
	c := n.GetAConst()
	if c.GetSval() != nil {
		return c.GetSval().Sval
	}
	if c.GetIval() != nil {
		return fmt.Sprint(c.GetIval().Ival)
	}
	return ""
}

func selectInfo(s *pg.SelectStmt) StatementInfo {
	w := treeWalker{}
	w.query(s)
	info := StatementInfo{Kind: caller.KindRead, Verb: "select", Tables: w.tables}
	if w.writes {
		info.Kind = caller.KindWrite
	}
	return info
}
