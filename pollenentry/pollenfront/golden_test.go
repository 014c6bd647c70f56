package pollenfront

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// scripts/golden sets both on a checkout of an earlier landing, to which it copies this file.
var (
	updateLanding = flag.String("landing", "", "write the golden file of this `commit` instead of reading all")
	goldenFolder  = flag.String("golden", filepath.Join("testdata", "golden"), "`folder` of the golden files")
)

// goldenSettings holds the settings that a landing knows, and its template.
type goldenSettings struct {
	Fields   []string
	Template string
}

var templateField = regexp.MustCompile(`"(\w+)":`)

// The platform may render the template of either build while instances are replaced, and refused settings keep an instance from starting.
// Guards against a template of an earlier landing that this build refuses, and against fields in the template that an earlier landing
// does not know: a setting enters the template one landing after the build that knows it.
func TestTemplatesOfEarlierLandings(t *testing.T) {
	c := qt.New(t)
	template, err := os.ReadFile("../../deploy/settings.json")
	c.Assert(err, qt.IsNil)
	if *updateLanding != "" {
		golden := goldenSettings{Template: string(template)}
		for _, f := range reflect.VisibleFields(reflect.TypeFor[Settings]()) {
			golden.Fields = append(golden.Fields, f.Name)
		}
		data, err := json.MarshalIndent(golden, "", "\t")
		c.Assert(err, qt.IsNil)
		c.Assert(os.WriteFile(filepath.Join(*goldenFolder, *updateLanding+".json"), append(data, '\n'), 0o644), qt.IsNil)
		return
	}
	files, err := filepath.Glob(filepath.Join(*goldenFolder, "*.json"))
	c.Assert(err, qt.IsNil)
	c.Assert(len(files) > 0, qt.IsTrue)
	for _, file := range files {
		data, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		var golden goldenSettings
		c.Assert(json.Unmarshal(data, &golden), qt.IsNil)
		renderSettings(c, []byte(golden.Template))
		for _, field := range templateField.FindAllStringSubmatch(string(template), -1) {
			c.Check(slices.Contains(golden.Fields, field[1]), qt.IsTrue, qt.Commentf("%s does not know the setting %s of the template", file, field[1]))
		}
	}
}
