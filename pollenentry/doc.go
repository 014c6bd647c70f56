// Command pollenentry is the program that runs on every entry instance.
package main
