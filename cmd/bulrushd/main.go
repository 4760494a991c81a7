// Command bulrushd runs one node of the load balancer.
package main

func main() {}
