package pollenfront

import (
	"fmt"
	"os"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenrollout"
	"pollenline.example/pollen/pollensettings"
)

// placeholderValues maps each placeholder of the settings template to an example value.
var placeholderValues = map[string]string{
	"node": "entry-1", "zone": "selfoss", "ip": "10.1.0.9",
	"listen.http": "10.1.0.9:8104", "listen.readiness": "10.1.0.9:8108", "listen.directory": "10.1.0.9:8100",
	"listen.admin": "10.1.0.9:8106", "#seeds": "", "bootstrap": "true", ".": "10.2.0.21:8106", ",": "", "/seeds": "", "limits.cpu_share": "0.4", "limits.memory_mb": "284", "platform.address": "10.200.1.7:8102", "bounds.retry_ratio": "0.2", "bounds.retry_slack": "58",
	"bounds.budget_window_s": "10", "bounds.grace_s": "6", "bounds.ttl_max_s": "5", "bounds.config_apply_ms": "3000",
	"bounds.drain_ms":        "5000",
	"#bounds.quota_window_s": "", "bounds.quota_window_s": "4", "/bounds.quota_window_s": "",
	"#bounds.quota_overshoot": "", "bounds.quota_overshoot": "0.2", "/bounds.quota_overshoot": "",
	"#bounds.quota_slack": "", "bounds.quota_slack": "30", "/bounds.quota_slack": "",
	"#bounds.canary_share": "", "bounds.canary_share": "0.1", "/bounds.canary_share": "", "#bounds.canary_slack": "", "bounds.canary_slack": "50", "/bounds.canary_slack": "",
	"#bounds.rollback_ms": "", "bounds.rollback_ms": "4000", "/bounds.rollback_ms": "",
}

// A template that no longer matches Settings keeps a deployed instance from starting, also where the platform states no quotas.
func TestDeployedTemplateParses(t *testing.T) {
	c := qt.New(t)
	template, err := os.ReadFile("../../deploy/settings.json")
	c.Assert(err, qt.IsNil)
	withoutOptional := regexp.MustCompile(`\{\{#bounds[^}]*\}\}.*`).ReplaceAll(template, nil)
	c.Assert(string(withoutOptional), qt.Not(qt.Contains), "Quota")
	settings := renderSettings(c, withoutOptional)
	c.Assert(settings.QuotaWindow, qt.Equals, DefaultSettings().QuotaWindow)
	c.Assert(settings.RolloutShare, qt.Equals, 0.0)
	settings = renderSettings(c, template)
	c.Assert(settings.QuotaWindow.Std(), qt.Equals, 4*time.Second)
	c.Assert(settings.QuotaOvershoot, qt.Equals, 0.2)
	c.Assert(settings.QuotaSlack, qt.Equals, 30.0)
	c.Assert(settings.ConfigurationDelay.Std(), qt.Equals, 3*time.Second)
	c.Assert(settings.StopTimeout.Std(), qt.Equals, 6*time.Second)
	c.Assert(settings.DrainNotice.Std(), qt.Equals, 5*time.Second)
	c.Assert(settings.RetrySlack, qt.Equals, 58.0)
	c.Assert(fmt.Sprint(settings.otherSeeds()), qt.Equals, "[10.2.0.21:8106]")
	c.Assert(settings.rolloutPolicy(), qt.Equals, pollenrollout.Policy{Share: 0.1, Slack: 50, RollbackDelay: 4 * time.Second})
}

// renderSettings returns the settings that the platform renders from a template.
func renderSettings(c *qt.C, template []byte) *Settings {
	data := regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllFunc(template, func(placeholder []byte) []byte {
		value, ok := placeholderValues[string(placeholder[2:len(placeholder)-2])]
		c.Assert(ok, qt.IsTrue, qt.Commentf("placeholder %s has no example", placeholder))
		return []byte(value)
	})
	settings := DefaultSettings()
	c.Assert(pollensettings.Parse(data, settings), qt.IsNil)
	return settings
}

// Load pattern: all instances lose power. Callers wait for their return, so none may wait for another, whatever its size.
func TestOnlyFirstStartIsDelayed(t *testing.T) {
	small := pollencatalog.Instance{Processor: 0.12}
	tests := []struct {
		firstStart bool
		want       bool
	}{
		{true, true},
		{false, false},
	}
	for _, test := range tests {
		settings := &Settings{FirstStart: test.firstStart}
		qt.Check(t, settings.startupDelay(small) > 0, qt.Equals, test.want, qt.Commentf("first start %v", test.firstStart))
	}
}

// Invalid settings that are accepted fail later, while the instance serves.
func TestParseRejectsInvalidSettings(t *testing.T) {
	const valid = `"Name":"a","Zone":"z","CallerAddress":"127.0.0.1:1","DirectoryAddress":"127.0.0.1:2",
		"ReadinessAddress":"127.0.0.1:3","MetricsAddress":"127.0.0.1:4","StoreAddress":"127.0.0.1:5","PeerAddress":"127.0.0.1:6"`
	tests := []struct {
		name string
		data string
		want string
	}{
		{"valid", "{" + valid + "}", ""},
		{"unknown field", "{" + valid + `,"Nam":"x"}`, "unknown field"},
		{"duration of zero", "{" + valid + `,"StopTimeout":"0s"}`, "field StopTimeout"},
		{"drain notice of zero", "{" + valid + `,"DrainNotice":"0s"}`, "field DrainNotice"},
		{"negative ratio", "{" + valid + `,"RetryRatio":-1}`, "field RetryRatio"},
		{"negative slack", "{" + valid + `,"RetrySlack":-1}`, "field RetrySlack"},
		{"quota window of zero", "{" + valid + `,"QuotaWindow":"0s"}`, "field QuotaWindow"},
		{"negative overshoot", "{" + valid + `,"QuotaOvershoot":-1}`, "field QuotaOvershoot"},
		{"negative quota slack", "{" + valid + `,"QuotaSlack":-1}`, "field QuotaSlack"},
		{"seed without a port", "{" + valid + `,"SeedAddresses":["10.2.0.21"]}`, "not an ip:port"},
		{"empty seed", "{" + valid + `,"SeedAddresses":[""]}`, "field SeedAddresses"},
		{"negative rollout share", "{" + valid + `,"RolloutShare":-1}`, "field RolloutShare"},
		{"negative rollout slack", "{" + valid + `,"RolloutSlack":-1}`, "field RolloutSlack"},
		{"no rollback delay", "{" + valid + `,"RollbackDelay":"0s"}`, "field RollbackDelay"},
		{"negative memory", "{" + valid + `,"MemoryMegabytes":-1}`, "field MemoryMegabytes"},
		{"no lines", "{" + valid + `,"LinesPerSecond":0}`, "field LinesPerSecond"},
		{"nothing", "{}", "field Name"},
		{"no address", `{"Name":"a","Zone":"z"}`, "field CallerAddress"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := pollensettings.Parse([]byte(test.data), DefaultSettings())
			if test.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, ".*"+test.want+".*")
		})
	}
}
