// Command loadgen is part of coltsfootplank.
package main

func main() {}
