package pollenroster

import (
	"encoding/json"
	"fmt"
	"strings"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenstore"
)

// InstancePrefix is the prefix of the keys by which instances register in the store.
const InstancePrefix = "pollenline/instances/"

// EncodeInstance returns the key and the value by which an instance registers in the store.
func EncodeInstance(instance pollencatalog.Instance) (string, []byte, error) {
	value, err := json.Marshal(instance)
	if err != nil {
		return "", nil, fmt.Errorf("instance %s: %w", instance.Name, err)
	}
	return InstancePrefix + instance.Name, value, nil
}

// DecodeInstances returns the instances that are registered in a listing of the store.
func DecodeInstances(listing pollenstore.Listing) []pollencatalog.Instance {
	var instances []pollencatalog.Instance
	for _, entry := range listing.Entries {
		if !strings.HasPrefix(entry.Key, InstancePrefix) {
			continue
		}
		instance, err := DecodeInstance(entry.Value)
		if err != nil {
			klog.ErrorS(err, "Key is not readable", "key", entry.Key, "revision", entry.Version)
			continue
		}
		instances = append(instances, *instance)
	}
	return instances
}

// DecodeInstance returns the instance that a key holds.
func DecodeInstance(value []byte) (*pollencatalog.Instance, error) {
	instance := &pollencatalog.Instance{}
	if err := json.Unmarshal(value, instance); err != nil {
		return nil, fmt.Errorf("instance: %w", err)
	}
	return instance, nil
}
