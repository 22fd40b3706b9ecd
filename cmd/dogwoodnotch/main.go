// Command dogwoodnotch is the scheduler's daemon and its command line.
package main

func main() {}
