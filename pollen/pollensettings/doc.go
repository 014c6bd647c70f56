// Package pollensettings reads and validates settings files; its errors name the file and the field.
package pollensettings
