package holder

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// extendedBatch encodes a batch of the extended protocol from message types
// and their texts, such as "P" and "SELECT 1".
func extendedBatch(steps []string, texts []string) []byte {
	var raw []byte
	for i, s := range steps {
		text := texts[i]
		switch s {
		case "P":
			raw = append(raw, mustEncode(&pgproto3.Parse{Query: text})...)
		case "B":
			raw = append(raw, mustEncode(&pgproto3.Bind{PreparedStatement: text})...)
		case "D":
			raw = append(raw, mustEncode(&pgproto3.Describe{ObjectType: 'P', Name: text})...)
		case "E":
			raw = append(raw, mustEncode(&pgproto3.Execute{Portal: text})...)
		case "H":
			raw = append(raw, mustEncode(&pgproto3.Flush{})...)
		case "S":
			raw = append(raw, mustEncode(&pgproto3.Sync{})...)
		}
	}
	return raw
}

// TestShape checks which batches are certain to be one whole transaction, to open
// one and run nothing else, or to run no statement.
func TestShape(t *testing.T) {
	var cases []struct {
		Query string   `yaml:"query"`
		Steps []string `yaml:"steps"`
		Texts []string `yaml:"texts"`
		Want  string   `yaml:"want"`
	}
	scripted.Read(t, "testdata/shape.yaml", &cases)
	names := map[shape]string{shapeOther: "other", shapeIdle: "idle", shapeSingle: "single", shapeBegin: "begin"}
	for _, c := range cases {
		raw := extendedBatch(c.Steps, c.Texts)
		if len(c.Steps) == 0 {
			raw = backend.QueryMessage(c.Query)
		}
		if diff := cmp.Diff(c.Want, names[shapeOf(inner.Batch{Raw: raw})]); diff != "" {
			t.Errorf("%q %v %v (-want +got):\n%s", c.Query, c.Steps, c.Texts, diff)
		}
	}
}
