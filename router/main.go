// Command router is part of coltsfootplank.
package main

func main() {}
