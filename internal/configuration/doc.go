// Package configuration keeps the specification in force: the fold of the log stream config, publishing by
// compare-and-set, and the exchange with peers while the log cannot be read.
//
// Invariant: an accepted configuration is in force within 5 s at every instance that reaches the log or a peer that has
// it, and never reverts. Mechanism: the version is a function of the log's records alone, whatever the release that reads
// them; a reader starts only at a snapshot of which every later record is retained; it shows nothing before it has read
// the log to its end, or, without the log, has asked all peers; a state is replaced only by one at a later offset; a
// record with a key that is not listed stops the fold, so that states cannot differ; and a snapshot is renewed at half of
// the retention.
//
// Windows that remain. A process that starts without the log shows the newest version that its reachable peers hold,
// which can be older than one that only ended processes had shown. When all instances restart while no usable snapshot is
// retained, or in a log outage as long as the retention, no state is left, and no instance becomes ready. A publish record
// that took effect just before such an outage, and that nobody read, is left out; its sender was told that the outcome is
// unknown.
package configuration
