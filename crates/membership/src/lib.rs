//! Failure detection between balancers, without I/O.
//!
//! This is a SWIM protocol. Each balancer probes one other in each interval,
//! directly and then through helpers, suspects one that does not reply, and
//! declares it dead after a timeout. Updates are disseminated by gossip on
//! probes. A balancer refutes a suspicion, or its own death, with a higher
//! incarnation. [`Membership`] is driven by messages, ticks and a monotonic
//! time that the caller passes in.
//!
//! Two rules make stale updates harmless: a balancer becomes a member only by
//! a message of its own, never by reports of others; and a balancer that died
//! or left keeps a tombstone, so that updates of older incarnations are ignored.

mod gossip;
mod local;
mod member;
mod membership;
mod output;
mod probe;
mod rate_limiter;
mod receive;
mod send;
mod settings;
mod timers;
mod tombstones;
mod watchers;

pub use member::Member;
pub use membership::{Identity, Membership};
pub use output::{Event, Output};
pub use settings::Settings;
pub use watchers::watchers;
