package session

import (
	"fmt"
	"maps"
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
)

const (
	// maxPrepared is the largest number of prepared statements of one session, maxPreparedSize that
	// of the bytes of their names and texts.
	maxPrepared     = 4096
	maxPreparedSize = 4 << 20
	// maxSettings is the largest number of settings of one session, maxSettingsSize that of the
	// bytes of their names and values. Each statement that is forwarded carries them.
	maxSettings     = 1024
	maxSettingsSize = 1 << 20
)

// prepare defines a prepared statement of the session, unless that exceeds a bound.
func (s *session) prepare(st statement.Statement) statement.Answer {
	if limit := s.options.Protocol.MaxShapeSize; limit > 0 && len(st.Shape.Text) > limit {
		return s.refuse(st, statement.Invalid, fmt.Sprintf("the prepared statement is longer than %d bytes", limit))
	}
	old, exists := s.prepared[st.Name]
	size := s.preparedSize + len(st.Shape.Text) - len(old.Text)
	if !exists {
		size += len(st.Name)
	}
	if !exists && len(s.prepared) >= maxPrepared || size > maxPreparedSize {
		return s.refuse(st, statement.Invalid, fmt.Sprintf("the session's prepared statements exceed %d, or %d bytes; deallocate some", maxPrepared, maxPreparedSize))
	}
	if !s.caller.Memory.Take(memory.Session, int64(size-s.preparedSize)) {
		return s.refuseShort(st)
	}
	if size < s.preparedSize {
		s.caller.Memory.Give(memory.Session, int64(s.preparedSize-size))
	}
	// A part of the message would keep all of it in memory.
	shape := statement.Shape{IsWrite: st.Shape.IsWrite, Text: strings.Clone(st.Shape.Text)}
	s.prepared[strings.Clone(st.Name)], s.preparedSize = shape, size
	return statement.LocalSuccess(s.status())
}

// deallocate drops a prepared statement of the session. A name that does not exist is no error.
func (s *session) deallocate(st statement.Statement) statement.Answer {
	if old, exists := s.prepared[st.Name]; exists {
		s.preparedSize -= len(st.Name) + len(old.Text)
		s.caller.Memory.Give(memory.Session, int64(len(st.Name)+len(old.Text)))
		delete(s.prepared, st.Name)
	}
	return statement.LocalSuccess(s.status())
}

// set sets a setting of the session, unless that exceeds a bound. It replaces the map, since a
// connection held by another VM may share the present one.
func (s *session) set(st statement.Statement) statement.Answer {
	old := statement.SettingsSize(s.settings)
	settings := maps.Clone(s.settings)
	settings[strings.Clone(st.Name)] = strings.Clone(st.Value)
	size := statement.SettingsSize(settings)
	if len(settings) > maxSettings || size > maxSettingsSize {
		return s.refuse(st, statement.Invalid, fmt.Sprintf("the session's settings exceed %d, or %d bytes", maxSettings, maxSettingsSize))
	}
	if !s.caller.Memory.Take(memory.Session, int64(size-old)) {
		return s.refuseShort(st)
	}
	if size < old {
		s.caller.Memory.Give(memory.Session, int64(old-size))
	}
	s.settings = settings
	return statement.LocalSuccess(s.status())
}
