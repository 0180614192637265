// Command routerctl is part of coltsfootplank.
package main

func main() {}
