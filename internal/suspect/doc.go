// Package suspect limits the damage of poison requests, which crash the servers that run
// them. A suspect is a fingerprint of a request that was in progress when a server crashed.
//
// Evidence holds the crashes with the requests that may have caused them, and decides which
// fingerprints are blocked: a crash counts against the fingerprints of its candidates, once
// each, unless a blocked one explains it. At enough crashes the most specific fingerprint is
// blocked, so that those that sound requests share with the cause stay free. A fingerprint
// whose request is answered is cleared.
//
// There are two ways to share the evidence. Gates use Shared, which keeps it for a whole fleet
// in one record of the store; a request has a fingerprint for each part of its prompt, and a
// blocked fingerprint gets a trial request from time to time. The product's own routers use
// Registry, with one fingerprint for a request and evidence for each fingerprint: a suspect
// runs only with a permit of its home router, which rendezvous hashing chooses among the
// routers of the region and which permits one attempt at a time.
//
// The package must not know HTTP, how servers are chosen or how a crash is detected.
package suspect
