// Package configuration keeps the specification in force, which it computes by folding the records of the log stream
// "config". It publishes new texts by compare-and-set, and exchanges the state with peers while the log cannot be read.
//
// Invariant: an accepted configuration is in force within 5 s at every instance that can reach the log or a peer that
// has it, and it never reverts. These rules ensure it:
//   - The version depends on the log's records alone, whatever release reads them.
//   - A reader starts only at a snapshot of which every later record is retained.
//   - A reader shows nothing before it has read the log to its end or, without the log, has asked all peers.
//   - A state is replaced only by one at a later offset.
//   - A record signed with a key that peer_keys does not list stops the fold, so that the states of instances cannot
//     differ.
//   - A snapshot is renewed at half of the retention.
//
// Known limits: a process that starts without the log shows the newest version that its reachable peers hold, which can
// be older than one that only ended processes had shown. When all instances restart while no usable snapshot is
// retained, or during a log outage as long as the retention, no state is left and no instance becomes ready. A publish
// record that was written just before such an outage and that no instance read is skipped; its sender was told that the
// outcome is unknown.
package configuration
