//! Sockets between balancers: control datagrams, relayed packets and bulk transfer.
//!
//! [`PeerNet::start`] binds the sockets and starts one thread for each.
//! Received messages are passed to the callbacks in [`Handlers`].
//!
//! ```no_run
//! use sequoiatrail_peers::{Handlers, PeerNet, Settings};
//! # use sequoiatrail_membership::Identity;
//! # fn run(me: Identity, key: sequoiatrail_wire::Key) -> sequoiatrail_peers::Result<()> {
//! let handlers = Handlers {
//!     relay: Box::new(|from, header, packet| { /* forward the packet */ }),
//!     ..Handlers::default()
//! };
//! let net = PeerNet::start(Settings::default(), me, key, handlers)?;
//! let view = net.members();
//! net.stop();
//! # Ok(())
//! # }
//! ```
//!
//! A [`TokenBucket`] limits the rate of control datagrams; [`Kind`] sets their
//! priority. Messages of the failure detector are sent immediately but still
//! consume tokens, which delays the other kinds. Relayed packets, which are data
//! traffic, and bulk transfers, which are rare and large, are not rate-limited
//! and are counted separately.
//!
//! Handlers run on the socket threads: they must not block, and must not call
//! [`PeerNet::stop`] or a `fetch` function.

mod bulk;
mod control;
mod error;
mod handlers;
mod meter;
mod net;
mod queue;
mod relay;
mod settings;
mod token_bucket;
mod view;

pub use error::{Error, Result};
pub use handlers::Handlers;
pub use meter::{Kind, KindStats, RejectReason, Stats};
pub use net::PeerNet;
pub use settings::Settings;
pub use token_bucket::TokenBucket;
pub use view::{Peer, View};
