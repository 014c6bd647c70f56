package pollentrial

import (
	"time"

	"pollenline.example/pollen/pollenfirm"
	"pollenline.example/pollen/pollenschema"
)

// newFirm returns a small firm with service families like those of both firms in pollenfirm.
func newFirm() *pollenfirm.Firm {
	return &pollenfirm.Firm{
		Name: "trial", Zones: []string{"zone-1", "zone-2", "zone-3"}, Preference: pollenschema.Preference_PREFERENCE_COVERAGE,
		Families: []pollenfirm.Family{
			{
				Name: "desk", Class: pollenschema.Class_CLASS_URGENT, Services: 2, Servers: 2, Slots: 2, Connections: 25,
				Indexes: []string{"patterns"}, Shards: 4, ServiceTime: 8 * time.Millisecond, ShardTime: time.Millisecond,
			},
			{
				Name: "store", Class: pollenschema.Class_CLASS_NORMAL, Services: 1, Servers: 4, Slots: 4, Connections: 45,
				Indexes: []string{"lundur", "hvammur"}, Shards: 4, ServiceTime: 8 * time.Millisecond, ShardTime: time.Millisecond,
			},
		},
	}
}
