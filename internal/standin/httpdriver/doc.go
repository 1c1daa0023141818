// Package httpdriver serves the simulated external systems over HTTP: inference
// engines, command servers, and the platform with its object API, machine list
// and weight store. docs/protocols.md describes the calls.
//
// Each server owns one of the deterministic cores of the packages under standin:
// it turns HTTP calls and timers into messages to the core, and the effects that
// the core returns into HTTP answers and calls.
//
// It may import everything under standin, fleet, and the wire types of
// backend and objectstore.
package httpdriver
