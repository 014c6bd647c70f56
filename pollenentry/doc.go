// Command pollenentry runs an entry instance and checks its settings.
package main
