// Command lab2 runs the script cases of the second review.
//
// It starts awgateway processes with the commands of the deploy file on loopback
// addresses, in front of stand-ins for the platform's store, the backend servers and
// the clients. Each case checks one rule from what clients and servers have seen.
package main
