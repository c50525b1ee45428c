// Command comfreytillerd is the daemon of an entry host.
package main

func main() {}
