package fleet

import (
	"reflect"

	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/settings"
)

// Reload applies the settings that may change while the node runs: the log level and the grace period. It logs a warning if
// other settings differ, because they take effect only after a restart. If the source is invalid it changes nothing and returns
// the errors that it found.
func (n *Node) Reload(file string, source []byte) error {
	s, err := settings.ParseFleetNode(file, source)
	if err != nil {
		return err
	}
	if err := n.level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return err
	}
	if n.grace.Swap(int64(s.Grace())) != int64(s.Grace()) {
		n.log.Info("grace period changed", zap.Float64("grace_ms", s.GraceMS))
	}
	s.LogLevel, s.GraceMS = n.settings.LogLevel, n.settings.GraceMS
	if !reflect.DeepEqual(s, n.settings) {
		n.log.Warn("changed settings take effect only after a restart", zap.String("file", file))
	}
	return nil
}

// ReportReloadError logs why the settings could not be read again; it does nothing if err is nil.
func (n *Node) ReportReloadError(err error) {
	if err != nil {
		n.log.Error("cannot reload the settings; the node keeps its current ones", zap.Error(err))
	}
}
