package pollenfront

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollengate"
	"pollenline.example/pollen/pollenrank"
)

// Operators follow an upgrade by the builds of the registered instances; those of landings that state none must be counted, too.
func TestMetricsStateBuilds(t *testing.T) {
	c := qt.New(t)
	m := newMetrics(func() int { return 0 }, func() int { return 0 }, func() pollengate.Counts { return pollengate.Counts{} }, func() pollenrank.Counts { return pollenrank.Counts{} })
	table := pollencatalog.NewTable(pollencatalog.TableConfig{Instances: []pollencatalog.Instance{
		{Name: "a", Build: "0a", Protocol: 1}, {Name: "b", Build: "0a", Protocol: 1}, {Name: "c"},
	}})
	m.stateBuilds(pollencatalog.Instance{Build: "0b", Protocol: 1}, func() *pollencatalog.Table { return table })
	families, err := m.registry.Gather()
	c.Assert(err, qt.IsNil)
	var stated []string
	for _, family := range families {
		for _, metric := range family.Metric {
			switch family.GetName() {
			case "pollen_build_info", "pollen_registered_instances":
				stated = append(stated, fmt.Sprint(family.GetName(), " ", metric.Label[0].GetValue(), " ", metric.Label[1].GetValue(), " ", metric.Gauge.GetValue()))
			case "pollen_fleet_protocol":
				stated = append(stated, fmt.Sprint(family.GetName(), " ", metric.Gauge.GetValue()))
			}
		}
	}
	c.Assert(stated, qt.ContentEquals, []string{
		"pollen_build_info 0b 1 1", "pollen_registered_instances 0a 1 2", "pollen_registered_instances unknown 0 1", "pollen_fleet_protocol 0",
	})
}
