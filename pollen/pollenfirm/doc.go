// Package pollenfirm describes the two firms' availability zones, services and backend servers, for the stand-ins.
package pollenfirm
