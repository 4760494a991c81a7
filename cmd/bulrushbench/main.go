// Command bulrushbench loads a set of nodes and holds the stand-ins.
package main

func main() {}
