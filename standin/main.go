// Command standin is part of coltsfootplank.
package main

func main() {}
