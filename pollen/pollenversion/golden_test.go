package pollenversion_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenpeer"
	"pollenline.example/pollen/pollenrelay"
)

// scripts/golden sets both on a checkout of an earlier landing, to which it copies this file.
var (
	updateLanding = flag.String("landing", "", "write the golden file of this `commit` instead of reading all")
	goldenFolder  = flag.String("golden", filepath.Join("testdata", "golden"), "`folder` of the golden files")
)

// goldenMessage is what a landing has written: Data, and the fields with their values as it reads them itself.
type goldenMessage struct {
	Data   []byte
	Fields map[string]string
}

// codec is an encoding of messages or of stored values.
type codec struct {
	encode func(value any) ([]byte, error)
	decode func(data []byte, value any) error
}

var gobCodec = codec{
	encode: func(value any) ([]byte, error) {
		var buffer bytes.Buffer
		err := gob.NewEncoder(&buffer).Encode(value)
		return buffer.Bytes(), err
	},
	decode: func(data []byte, value any) error { return gob.NewDecoder(bytes.NewReader(data)).Decode(value) },
}

var jsonCodec = codec{encode: json.Marshal, decode: json.Unmarshal}

// goldenTypes lists what one build writes and another reads. The requests of Relay.List and Relay.ListKnown had no fields in the recorded builds
// (TestListingsBesideFormerBuild).
var goldenTypes = []struct {
	name  string
	codec codec
	value any
}{
	{"store/registration", jsonCodec, pollencatalog.Instance{}},
	{"store/rollout", jsonCodec, pollencatalog.RolloutState{}},
	{"relay/WatchRequest", gobCodec, pollenrelay.WatchRequest{}},
	{"relay/SuspectsRequest", gobCodec, pollenrelay.SuspectsRequest{}},
	{"relay/UsageRequest", gobCodec, pollenrelay.UsageRequest{}},
	{"relay/RolloutsRequest", gobCodec, pollenrelay.RolloutsRequest{}},
	{"relay/Reply", gobCodec, pollenrelay.Reply{}},
	{"peer/PingRequest", gobCodec, pollenpeer.PingRequest{}},
	{"peer/PingReply", gobCodec, pollenpeer.PingReply{}},
	{"peer/WatchRequest", gobCodec, pollenpeer.WatchRequest{}},
	{"peer/WatchReply", gobCodec, pollenpeer.WatchReply{}},
	{"peer/InForceRequest", gobCodec, pollenpeer.InForceRequest{}},
	{"peer/InForceReply", gobCodec, pollenpeer.InForceReply{}},
	{"peer/ForwardRequest", gobCodec, pollenpeer.ForwardRequest{}},
	{"peer/ForwardReply", gobCodec, pollenpeer.ForwardReply{}},
	{"peer/CancelRequest", gobCodec, pollenpeer.CancelRequest{}},
	{"peer/ExecuteRequest", gobCodec, pollenpeer.ExecuteRequest{}},
	{"peer/ExecuteReply", gobCodec, pollenpeer.ExecuteReply{}},
}

// Guards against changes after which this build does not read what an earlier landing writes, beside which its instances run.
func TestGoldenMessagesOfEarlierLandings(t *testing.T) {
	c := qt.New(t)
	if *updateLanding != "" {
		c.Assert(writeGolden(filepath.Join(*goldenFolder, *updateLanding+".json")), qt.IsNil)
		return
	}
	files, err := filepath.Glob(filepath.Join(*goldenFolder, "*.json"))
	c.Assert(err, qt.IsNil)
	c.Assert(len(files) > 0, qt.IsTrue)
	for _, file := range files {
		data, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		var golden map[string]goldenMessage
		c.Assert(json.Unmarshal(data, &golden), qt.IsNil)
		for _, g := range goldenTypes {
			t.Run(filepath.Base(file)+"/"+g.name, func(t *testing.T) {
				message, ok := golden[g.name]
				qt.Assert(t, ok, qt.IsTrue)
				for _, problem := range compare(g.codec, reflect.TypeOf(g.value), message) {
					t.Error(problem)
				}
			})
		}
	}
}

// Guards against a comparison that misses a change, or that doesn't name the field.
func TestComparisonNamesField(t *testing.T) {
	type inner struct{ Kept, Changed int }
	type former struct {
		Removed string
		Retyped uint64
		List    []inner
	}
	type present struct {
		Retyped string
		List    []struct {
			Kept    int
			Changed bool
		}
		Added int
	}
	for _, codec := range []codec{gobCodec, jsonCodec} {
		message, err := goldenOf(codec, reflect.TypeFor[former]())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, compare(codec, reflect.TypeFor[former](), message), qt.HasLen, 0)
		problems := strings.Join(compare(codec, reflect.TypeFor[present](), message), "\n")
		qt.Check(t, problems, qt.Matches, `(?s)field \.List\[0\]\.Changed: .*\nfield \.Removed: .*\nfield \.Retyped: .*`)
	}
}

func writeGolden(file string) error {
	golden := make(map[string]goldenMessage)
	for _, g := range goldenTypes {
		message, err := goldenOf(g.codec, reflect.TypeOf(g.value))
		if err != nil {
			return fmt.Errorf("%s: %w", g.name, err)
		}
		golden[g.name] = message
	}
	data, err := json.MarshalIndent(golden, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// goldenOf returns a message with all fields set.
func goldenOf(codec codec, messageType reflect.Type) (goldenMessage, error) {
	value, n := reflect.New(messageType), 0
	fill(value.Elem(), &n)
	data, err := codec.encode(value.Interface())
	if err != nil {
		return goldenMessage{}, err
	}
	read := reflect.New(messageType)
	if err := codec.decode(data, read.Interface()); err != nil {
		return goldenMessage{}, err
	}
	message := goldenMessage{Data: data, Fields: make(map[string]string)}
	flatten(read.Elem(), "", message.Fields)
	return message, nil
}

// compare returns a line for each field of a message that this build does not read as the landing wrote it.
func compare(codec codec, messageType reflect.Type, message goldenMessage) []string {
	read := make(map[string]string)
	failed := make(map[string]error)
	for _, n := range narrow(messageType) {
		if _, ok := message.Fields[n.path]; !ok {
			continue
		}
		// A field that can't be decoded would keep the others from being decoded.
		value := reflect.New(n.narrowed)
		if err := codec.decode(message.Data, value.Interface()); err != nil {
			failed[n.path] = err
			continue
		}
		flatten(value.Elem(), "", read)
	}
	var problems []string
	for _, path := range slices.Sorted(maps.Keys(message.Fields)) {
		got, ok := read[path]
		switch want := message.Fields[path]; {
		case failed[path] != nil:
			problems = append(problems, fmt.Sprintf("field %s: %v", path, failed[path]))
		case !ok:
			problems = append(problems, fmt.Sprintf("field %s: not read any more", path))
		case got != want:
			problems = append(problems, fmt.Sprintf("field %s: read as %s, written as %s", path, got, want))
		}
	}
	return problems
}

// isLeaf reports whether a type is encoded as one value.
func isLeaf(t reflect.Type) bool {
	switch t {
	case reflect.TypeFor[netip.AddrPort](), reflect.TypeFor[time.Time](), reflect.TypeFor[[]byte]():
		return true
	}
	return !slices.Contains([]reflect.Kind{reflect.Struct, reflect.Slice, reflect.Map, reflect.Pointer}, t.Kind())
}

// fill sets all fields to values that differ from each other and from zero.
func fill(v reflect.Value, n *int) {
	*n++
	switch v.Type() {
	case reflect.TypeFor[netip.AddrPort]():
		v.Set(reflect.ValueOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(*n)}), uint16(7000+*n))))
		return
	case reflect.TypeFor[time.Time]():
		v.Set(reflect.ValueOf(time.Unix(1_700_000_000+int64(*n), 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for _, f := range reflect.VisibleFields(v.Type()) {
			fill(v.FieldByIndex(f.Index), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Array:
		fill(v.Index(0), n)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint:
		v.SetUint(uint64(*n))
	case reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64, reflect.Int:
		v.SetInt(int64(*n))
	default:
		panic(fmt.Sprintf("no golden value for %v", v.Type()))
	}
}

// flatten adds the values of all fields by their paths.
func flatten(v reflect.Value, path string, fields map[string]string) {
	if isLeaf(v.Type()) {
		fields[path] = fmt.Sprint(v.Interface())
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for _, f := range reflect.VisibleFields(v.Type()) {
			if f.Tag.Get("json") != "-" || !v.FieldByIndex(f.Index).IsZero() {
				flatten(v.FieldByIndex(f.Index), path+"."+f.Name, fields)
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			flatten(v.Index(i), fmt.Sprintf("%s[%d]", path, i), fields)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			flatten(v.MapIndex(key), path+"[0]", fields)
		}
	case reflect.Pointer:
		if !v.IsNil() {
			flatten(v.Elem(), path, fields)
		}
	}
}

// narrowedType is a message type with one field only.
type narrowedType struct {
	path     string
	narrowed reflect.Type
}

// narrow returns a type for each field of a message type.
func narrow(t reflect.Type) []narrowedType {
	if isLeaf(t) {
		return []narrowedType{{"", t}}
	}
	wrap := func(path string, t reflect.Type, wrapped func(reflect.Type) reflect.Type) (list []narrowedType) {
		for _, n := range narrow(t) {
			list = append(list, narrowedType{path + n.path, wrapped(n.narrowed)})
		}
		return list
	}
	var list []narrowedType
	switch t.Kind() {
	case reflect.Struct:
		for _, f := range reflect.VisibleFields(t) {
			list = append(list, wrap("."+f.Name, f.Type, func(field reflect.Type) reflect.Type {
				return reflect.StructOf([]reflect.StructField{{Name: f.Name, Type: field, Tag: f.Tag}})
			})...)
		}
	case reflect.Slice:
		list = wrap("[0]", t.Elem(), reflect.SliceOf)
	case reflect.Map:
		list = wrap("[0]", t.Elem(), func(value reflect.Type) reflect.Type { return reflect.MapOf(t.Key(), value) })
	case reflect.Pointer:
		list = wrap("", t.Elem(), reflect.PointerTo)
	}
	return list
}
