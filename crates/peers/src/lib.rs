//! Sockets between balancers: control datagrams, relayed packets and bulk transfer.
//!
//! [`PeerNet::start`] binds the sockets and starts one thread for each of the
//! three; what arrives goes to the closures of [`Handlers`].
//!
//! ```no_run
//! use sequoiatrail_peers::{Handlers, PeerNet, Settings};
//! # use sequoiatrail_membership::Identity;
//! # fn run(me: Identity, key: sequoiatrail_wire::Key) -> sequoiatrail_peers::Result<()> {
//! let handlers = Handlers {
//!     relay: Box::new(|from, header, packet| { /* decide on the packet */ }),
//!     ..Handlers::default()
//! };
//! let net = PeerNet::start(Settings::default(), me, key, handlers)?;
//! let view = net.members();
//! net.stop();
//! # Ok(())
//! # }
//! ```
//!
//! Control datagrams are paced by a [`TokenBucket`] in the order of [`Kind`].
//! Messages of the failure detector are never held back, but charged, so the
//! others wait for them. Relayed packets are data and counted apart; so are
//! bulk transfers, which are rare and large.
//!
//! Handlers run on the threads of the sockets: they must be quick, and must not
//! call [`PeerNet::stop`] or a `fetch` function.

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
pub use meter::{Count, Kind, RejectReason, Stats};
pub use net::PeerNet;
pub use settings::Settings;
pub use token_bucket::TokenBucket;
pub use view::{Peer, View};
