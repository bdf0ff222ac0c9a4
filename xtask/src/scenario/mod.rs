//! Scenario language: small text files, each with one scenario, run against real processes.
//!
//! One step per line; `#` starts a comment. Durations are written `3 s` or `250 ms`.
//!
//! ```text
//! seed N
//! long
//! settings SECTION "KEY = VALUE"                    (for nodes started later)
//! start store [writes N per s] [reads N per s]
//! start node NODE region REGION data-centre DC
//! start target TARGET at NODE service SERVICE version VERSION
//!     [slots N] [service-time T] [cold T] [crash-marker "TEXT"]      (on one line)
//! apply catalogue "FILE" [through NODE] [expect refused [with "TEXT"]|unknown]
//! race catalogue "FILE" through NODE with "FILE" through NODE
//! send N requests to SERVICE path PATH through NODE[,NODE...] key unique|once|none
//!     [body "TEXT"] [rate N per s] [concurrency N] [timeout T] [resend N [every T]] [in background]
//! wait for N runs within T
//! wait for sends within T
//! wait for [keyed] answers from SERVICE path PATH through NODE[,NODE...] within T
//! pause T
//! kill NAME | kill vm NODE | stop NAME | restart NAME | restart all nodes
//! freeze NAME for T
//! leave TARGET                                      (deregisters the target, which keeps running)
//! bytes to NODE port caller|peer-tcp|peer-udp|operator|local random N messages|text "TEXT"
//! store down for T | store closed for T | store slow T for T
//! store loses answer of next N writes [then closed for T] | store cuts watches
//! target TARGET fails N permille [path PATH] [above N] [after T]
//! target TARGET slow T [path PATH] [above N] [after T]
//! move SERVICE aborts through NODE
//! move SERVICE has judge within T | kills judge | freezes judge for T
//! move SERVICE gave at most N runs to VERSION
//! move SERVICE sends at most|at least N permille to VERSION for T
//! move SERVICE reports "TEXT" through NODE[,NODE...] within T
//! target TARGET dies in answers [path PATH] [above N] [after T]
//! expect revision N on all|NODE within T
//! expect no double runs | no wrong answers | no false not-run
//! expect at least N answered
//! expect at least N code HF-NNNN
//! expect at most N unknown|not-run|store-writes|ended targets
//! expect metric NAME on all|NODE at least N within T | at most N
//! expect log "TEXT" on NODE within T
//! expect no log "TEXT" on NODE
//! expect running all|NODE
//! expect no runs at TARGET from T after leave
//! expect never below revision N on NODE for T
//! ```

pub mod command;
pub mod model;
pub mod moves;
pub mod parser;
pub mod runner;
