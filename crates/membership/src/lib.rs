//! Failure detection between balancers, without I/O.
//!
//! Each balancer probes one other in each period, directly and then through
//! others, suspects one that does not answer, and after a timeout takes it for
//! dead. News spread as rumours on probes. A balancer refutes a suspicion, or
//! its own death, with a higher incarnation. [`Membership`] is driven by
//! messages, ticks and a monotonic time that the caller passes in.
//!
//! Two rules keep old news harmless: a balancer becomes a member only by its
//! own message, never on hearsay; and one that died or left is remembered long
//! enough that an older incarnation of it does not count.

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
