// Command bulrushctl lets operators edit the catalogue and read the status.
package main

func main() {}
