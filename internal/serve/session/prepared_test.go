package session

import (
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// TestSessionKeepsNoMessages guards against a session that keeps whole messages in memory.
func TestSessionKeepsNoMessages(t *testing.T) {
	const count, messageSize, maxGrowth = 100, 1 << 20, 4 << 20
	s := &session{settings: map[string]string{}, prepared: map[string]statement.Shape{}}
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	for i := range count {
		name := strconv.Itoa(i)
		message := strings.Repeat("i", messageSize) + name
		part := message[messageSize:]
		s.prepare(statement.Statement{Kind: statement.Prepare, Name: part, Shape: statement.Shape{Text: part}})
		s.set(statement.Statement{Kind: statement.Set, Name: part, Value: part})
	}
	if grown := heap() - before; grown > maxGrowth {
		t.Errorf("%d short statements and settings keep %d MiB", count, grown>>20)
	}
	runtime.KeepAlive(s)
}
