package wire

// The identifiers that the scheduler's parts pass to one another are types of their own, so that one is not taken for
// another. They are converted where they enter or leave as plain numbers and strings: HTTP parameters, settings, the
// command line and the keys and versions of the key-value store.

// FencingToken identifies a leader's term. It is the version that the leader's key got in the key-value store as the
// leader claimed it, so it grows with each term: of two leaders, the one with the higher token is newer, and who has
// seen a token refuses commands and writes under lower ones. 0: no leader is known.
type FencingToken uint64
