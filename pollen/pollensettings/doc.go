// Package pollensettings reads settings files and reports every problem with file and field.
package pollensettings
