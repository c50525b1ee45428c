// Command comfreytiller is the operators' tool.
package main

func main() {}
