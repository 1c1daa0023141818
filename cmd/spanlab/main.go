// Command spanlab is started by operators; see README.md.
package main

func main() {}
