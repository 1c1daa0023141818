// Command review-standin-2 plays the cases of the second review: each starts the project's own program as
// processes on loopback addresses, between small stand-ins of the platform's store, of servers and of
// clients, and judges by what these saw.
//
//	review-standin-2 CASE FOLDER
//
// It writes record.txt into the folder and exits with 1 if the case's rule was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main
