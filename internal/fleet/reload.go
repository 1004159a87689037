package fleet

import (
	"reflect"

	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/settings"
)

// Reload takes the settings that may change while the node runs, its log level and its grace; of others it says that they wait
// for a restart. Settings with mistakes change nothing.
func (n *Node) Reload(file string, source []byte) error {
	s, err := settings.ParseFleetNode(file, source)
	if err != nil {
		return err
	}
	if err := n.level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return err
	}
	if n.grace.Swap(int64(s.GraceMS)) != int64(s.GraceMS) {
		n.log.Info("settings changed", zap.Int("grace_ms", s.GraceMS))
	}
	s.LogLevel, s.GraceMS = n.settings.LogLevel, n.settings.GraceMS
	if !reflect.DeepEqual(s, n.settings) {
		n.log.Warn("settings wait for a restart", zap.String("file", file))
	}
	return nil
}

// ReportReloadError takes note of an attempt to read the settings again.
func (n *Node) ReportReloadError(err error) {
	if err != nil {
		n.log.Error("settings not read", zap.Error(err))
	}
}
